/** @file leaf_model.h Behavior of one stand-in leaf. */

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

/** Faults that a test can switch on. */
struct leaf_faults {
  bool hang = false;            ///< Never reply.
  bool crossed = false;         ///< Reply with the id of an earlier request.
  bool duplicate = false;       ///< Send the reply twice.
  bool truncated = false;       ///< Announce more bytes than are sent.
  bool wrong_snapshot = false;  ///< Claim another snapshot.
  std::uint32_t slow = 1;       ///< Multiplies the service time.
};

/** What a leaf is like. */
struct leaf_settings {
  std::uint32_t slots = 2;          ///< Requests that run at the same time.
  std::uint32_t queue = 8;          ///< Requests that wait; more are shed.
  std::uint32_t service_us = 2000;  ///< Mean service time.
  std::uint64_t seed = 1;           ///< Seed of the service times.
  std::vector<std::uint64_t> snapshots = {1};  ///< Held, oldest first.
};

/** One leaf: slots, a bounded queue, service times and faults. */
class leaf_model {
 public:
  explicit leaf_model(leaf_settings settings);

  /** Answers the leaf protocol. */
  standin_reply Handle(const standin_request& request);

  /** Changes faults, drain flag and snapshots from the parameters given. */
  void Configure(const standin_request& request);

  /** Every order that ran, one identifier a line, in the order of running. */
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
