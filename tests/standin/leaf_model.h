/** @file leaf_model.h Implements one stand-in leaf. */

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "standin/standin_server.h"

namespace corianderrail {

/** Faults that a test can enable, see Configure(). */
struct leaf_faults {
  bool hang = false;            ///< Does not reply.
  bool crossed = false;         ///< Replies with the previous request's id.
  bool duplicate = false;       ///< Sends each reply twice.
  bool truncated = false;       ///< Sends fewer bytes than announced.
  bool wrong_snapshot = false;  ///< States another snapshot.
  std::uint32_t slow = 1;       ///< Multiplies the service time.
};

/** Capacity, service time and snapshots of a leaf. */
struct leaf_settings {
  std::uint32_t slots = 2;  ///< Requests processed concurrently.
  std::uint32_t queue = 8;  ///< Queue length at which requests are shed.
  std::uint32_t service_us = 2000;  ///< Mean service time, without faults.
  std::uint64_t seed = 1;           ///< Seed of the service times.
  std::vector<std::uint64_t> snapshots = {1};  ///< Loaded, oldest first.
};

/** One leaf with slots, a bounded queue, service times and faults. */
class leaf_model {
 public:
  explicit leaf_model(leaf_settings settings);

  /** Answers a request of the leaf protocol; blocks for the service time. */
  standin_reply Handle(const standin_request& request);

  /** Sets the faults, the drain flag and the snapshots that the parameters of
   *  the request name; leaves all others unchanged. */
  void Configure(const standin_request& request);

  /** Identifiers of all orders that ran, one per line, in the order of their
   *  start. */
  std::string Orders();

  std::uint64_t Requests() const { return requests_; }

 private:
  bool AcquireSlot();
  void ReleaseSlot();
  std::uint64_t ServiceTimeUs();
  standin_reply Run(const standin_request& request, bool order);
  standin_reply Reply(const standin_request& request, const char* status,
                      const std::string& body);
  void ApplyFaults(standin_reply& reply);

  leaf_settings settings_;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::mt19937_64 random_;
  leaf_faults faults_;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::string previous_id_ = "0";
  std::vector<std::string> orders_;
  std::atomic<std::uint64_t> requests_{0};
};

}  // namespace corianderrail
