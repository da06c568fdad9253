/** @file fake_leaf.h Simulates a leaf in virtual time. */

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/leaf_type.h"
#include "core/random.h"

namespace corianderrail::driver {

/** Capacity and service times of a simulated leaf. */
struct fake_leaf_settings {
  std::uint32_t slots = 2;         ///< Requests processed concurrently.
  std::uint32_t connections = 25;  ///< Connections accepted from all hosts.
  std::uint32_t queue_limit = 16;  ///< Queue length at which requests are shed.
  double median_us = 4000;         ///< Median service time, before the factors.
  double sigma = 0.5;              ///< Shape of the lognormal distribution.
  double tail_share = 0.005;  ///< Share of requests slowed by `tail_factor`.
  double tail_factor = 10;    ///< Multiplies the time of such a request.
  std::uint32_t cold_requests = 0;  ///< Requests after a start that are slower.
  double cold_factor = 3;           ///< Multiplies the time of a cold request.
  std::uint64_t seed = 1;           ///< Seed of the service times.
};

/** Mean service time of a warm leaf, in microseconds. */
double MeanServiceTime(const fake_leaf_settings& settings);

/** Reply to one request. */
struct ticket_reply {
  std::uint64_t ticket = 0;  ///< Identifies the request, see Submit().
  leaf_reply reply;          ///< What the leaf replied.
};

/** What a leaf read for a reply. The leaf writes these fields into the payload,
 *  so that a test can check the snapshot and coverage that the tier states. */
struct leaf_payload {
  snapshot_id snapshot{};  ///< Snapshot that was read.
  key_range range;         ///< Keys that were read.
  std::string query;       ///< Payload of the request.
};

/** Parses the payload that a leaf replied to a part of a query. */
leaf_payload ParseLeafPayload(const std::string& payload);

/**
 * A leaf with a fixed number of slots, a bounded first-in-first-out queue,
 * heavy-tailed service times and loaded snapshots. It has no clock: the caller
 * calls OnTimer() at NextTimer().
 */
class fake_leaf {
 public:
  explicit fake_leaf(fake_leaf_settings settings);

  void Submit(std::uint64_t ticket, const leaf_request& request, time_point now,
              std::vector<ticket_reply>& replies);

  /** Cancels a part of a query or a queued order; a running order continues. */
  void Cancel(std::uint64_t ticket, time_point now,
              std::vector<ticket_reply>& replies);

  /** Replies to the requests whose service time has passed. */
  void OnTimer(time_point now, std::vector<ticket_reply>& replies);

  /** Time at which to call OnTimer() next; kNever when no request runs. */
  time_point NextTimer() const;

  /** Discards all requests without a reply; the next requests are cold. */
  void Restart();

  /** Loads a range of keys of a snapshot. */
  void Hold(snapshot_id snapshot, key_range range);

  /** Unloads a snapshot. */
  void Drop(snapshot_id snapshot);

  void SetFactor(double factor) { factor_ = factor; }
  void SetDraining(bool draining) { draining_ = draining; }

  const fake_leaf_settings& Settings() const { return settings_; }
  /** Orders that the leaf has started to run, in this order. */
  const std::vector<order_id>& Ran() const { return ran_; }
  std::uint64_t Submitted() const { return submitted_; }
  std::uint64_t Shed() const { return shed_; }

  /** Requests received while the leaf was draining. */
  std::uint64_t SubmittedDraining() const { return submitted_draining_; }

  /** Maximum number of requests in the leaf, queued ones included. */
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
