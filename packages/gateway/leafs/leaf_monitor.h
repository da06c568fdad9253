/** @file leaf_monitor.h Passive health check of one leaf. */

#pragma once

#include <cstdint>
#include <vector>

#include "core/time_type.h"
#include "gateway/leafs/concurrency_window.h"
#include "gateway/leafs/leaf_performance.h"
#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** A request that a leaf has not answered yet. */
struct open_call {
  leaf_call call{};     ///< Identifies the request.
  time_point sent{};    ///< When it was passed to the connection.
  duration expected{};  ///< Usual latency at the distance of the leaf.
  duration unloaded{};  ///< Usual latency without queueing.
  duration work{};      ///< Estimated time that a leaf works for the request.
  duration suspect_after{};  ///< Time after `sent` when the request is late.
  std::uint32_t open = 1;    ///< Open requests then, including this one.
};

/**
 * Performance, failures and ejection of one leaf, derived from the answers to
 * this host's requests and from missing answers. Health endpoints of leafs are
 * not queried, because they would use slots and need not reflect real requests.
 */
class leaf_monitor {
 public:
  leaf_monitor() = default;
  explicit leaf_monitor(performance_settings settings)
      : performance_(settings) {}

  void OnSent(const open_call& call);

  /** Removes an open call without a statistical effect. */
  void DropCall(leaf_call call);

  /** The same for all open calls. */
  void DropAllCalls() { open_.clear(); }

  /** A usable answer was received. */
  void OnAnswer(leaf_call call, time_point now);

  /** The leaf refused the request because it is full. */
  void OnShed(leaf_call call, time_point now);

  /** The request ended without an answer. */
  void OnFailure(leaf_call call, leaf_failure failure, time_point now);

  /** The leaf answered with an error, or its answer was unusable. */
  void OnErrorStatus(leaf_call call, time_point now);

  /** A probe connection succeeded after an ejection. */
  void OnProbeSucceeded();

  /** A probe connection failed after an ejection. */
  void OnProbeFailed(time_point now);

  std::uint32_t Open() const {
    return static_cast<std::uint32_t>(open_.size());
  }

  /** Latency and concurrency learned from the answers. */
  const leaf_performance& Performance() const { return performance_; }

  /** Share of recent requests that failed; decays towards 0. */
  double FailureRate(time_point now) const;

  /** True when a request is late and no answer came since it became late. */
  bool Stalled(time_point now) const;

  /** True while the leaf is ejected and must not be probed yet. */
  bool Ejected(time_point now) const { return now < ejected_until_; }

  /** True from an ejection until a probe connection or an answer succeeds. */
  bool OnProbation() const { return consecutive_failures_ >= kFailuresToEject; }

  /** True while the leaf is known to accept no connection of this host. */
  bool AtConnectionLimit(time_point now) const { return now < connect_after_; }

  /** Limit on the open requests of this host at the leaf. */
  const concurrency_window& Window() const { return window_; }

 private:
  /** Consecutive failures after which a leaf is ejected. */
  static constexpr std::uint32_t kFailuresToEject = 3;

  bool RemoveCall(leaf_call call, open_call& removed);
  void BackOffConnecting(time_point now);
  void CountFailure(time_point now);
  void AddFailure(time_point now);
  void Eject(time_point now);

  std::vector<open_call> open_;  ///< In the order they were sent.
  leaf_performance performance_;
  double failure_rate_ = 0;  ///< Value at failure_at_.
  time_point failure_at_{};
  concurrency_window window_;
  time_point last_answer_{};  ///< Includes refusals and error answers.
  std::uint32_t consecutive_failures_ = 0;  ///< Since the last usable answer.
  duration backoff_{};                      ///< Duration of the last ejection.
  time_point ejected_until_{};
  duration connect_backoff_{};  ///< Last pause after a refused connection.
  time_point connect_after_{};  ///< End of that pause.
};

}  // namespace corianderrail::gateway
