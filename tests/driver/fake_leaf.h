/** @file fake_leaf.h A leaf in virtual time. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/leaf_type.h"
#include "core/random.h"

namespace corianderrail::driver {

/** Behavior of a fake leaf. */
struct fake_leaf_settings {
  std::uint32_t slots = 2;          ///< Requests run at the same time.
  std::uint32_t connections = 25;   ///< Connections accepted from all hosts.
  std::uint32_t queue_limit = 16;   ///< Waiting requests before it sheds.
  double median_us = 4000;          ///< Median service time.
  double sigma = 0.5;               ///< Shape of the lognormal distribution.
  double tail_share = 0.005;        ///< Requests that take much longer.
  double tail_factor = 10;          ///< By how much they take longer.
  std::uint32_t cold_requests = 0;  ///< Slower requests after a start.
  double cold_factor = 3;           ///< By how much a cold leaf is slower.
  std::uint64_t seed = 1;           ///< Seed of the service times.
};

/** Mean service time of a warm leaf with these settings, in microseconds. */
double MeanServiceTime(const fake_leaf_settings& settings);

/** A reply for the request with this ticket. */
struct ticket_reply {
  std::uint64_t ticket = 0;  ///< Ticket of Submit().
  leaf_reply reply;          ///< The reply.
};

/** What a leaf read for a reply; it is written into the payload. */
struct leaf_payload {
  snapshot_id snapshot{};  ///< Snapshot that was read.
  key_range range;         ///< Keys that were read.
  std::string query;       ///< Payload of the request.
};

/** Reads the payload of an answered sub-query. */
leaf_payload ParseLeafPayload(const std::string& payload);

/**
 * Slots, a bounded first-in-first-out queue, heavy-tailed service times and
 * snapshots held. Passive: the caller advances it with OnTimer().
 */
class fake_leaf {
 public:
  explicit fake_leaf(fake_leaf_settings settings);

  void Submit(std::uint64_t ticket, const leaf_request& request, time_point now,
              std::vector<ticket_reply>& replies);

  /** Ends a sub-query early; an order that runs is not interrupted. */
  void Cancel(std::uint64_t ticket, time_point now,
              std::vector<ticket_reply>& replies);

  /** Finishes what is due. */
  void OnTimer(time_point now, std::vector<ticket_reply>& replies);

  /** When OnTimer() is wanted. */
  time_point NextTimer() const;

  /** Loses all work; the next requests are cold. */
  void Restart();

  /** Makes keys of a snapshot available. */
  void Hold(snapshot_id snapshot, key_range range);

  /** Removes a snapshot. */
  void Drop(snapshot_id snapshot);

  void SetFactor(double factor) { factor_ = factor; }
  void SetDraining(bool draining) { draining_ = draining; }

  const fake_leaf_settings& Settings() const { return settings_; }
  const std::vector<order_id>& Ran() const { return ran_; }
  std::uint64_t Submitted() const { return submitted_; }
  std::uint64_t Shed() const { return shed_; }

  /** Requests received after the first reply that said "draining". */
  std::uint64_t SubmittedDraining() const { return submitted_draining_; }

  /** Most requests in the leaf at the same time, waiting ones included. */
  std::size_t Peak() const { return peak_; }

 private:
  struct work {
    std::uint64_t ticket = 0;
    leaf_request request;
    time_point arrived{};
    time_point done{};
  };

  bool Holds(snapshot_id snapshot, key_range range) const;
  leaf_reply Reply(leaf_status status) const;
  void Begin(work item, time_point now);
  void FillSlots(time_point now, std::vector<ticket_reply>& replies);
  duration ServiceTime();

  fake_leaf_settings settings_;
  random_source random_;
  std::vector<work> running_;
  std::deque<work> waiting_;
  std::map<snapshot_id, std::vector<key_range>> held_;
  std::vector<order_id> ran_;
  double factor_ = 1;
  bool draining_ = false;
  std::uint32_t cold_left_ = 0;
  std::uint64_t submitted_ = 0;
  std::uint64_t submitted_draining_ = 0;
  std::uint64_t shed_ = 0;
  std::size_t peak_ = 0;
};

}  // namespace corianderrail::driver
