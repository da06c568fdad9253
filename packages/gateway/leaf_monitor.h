/** @file leaf_monitor.h What this host's own requests say about one leaf. */

#pragma once

#include <cstdint>
#include <vector>

#include "core/time_type.h"
#include "gateway/concurrency_window.h"
#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** A request that a leaf has not answered yet. */
struct open_call {
  leaf_call call{};          ///< The request.
  time_point sent{};         ///< When it was given to the connection.
  duration expected{};       ///< Usual latency of such a request.
  duration unloaded{};       ///< The same while leafs have no queue.
  duration work{};           ///< Part of it that the leaf works.
  duration suspect_after{};  ///< Later than this, the leaf is slow.
};

/**
 * Speed and failures of one leaf, from answers and from their absence. Health
 * endpoints are not asked: they cost slots and may say anything.
 */
class leaf_monitor {
 public:
  void OnSent(const open_call& call);

  /** Takes a call off the list without learning from it. */
  void Forget(leaf_call call);

  /** A usable answer arrived. */
  void OnAnswer(leaf_call call, time_point now);

  /** The leaf refused because it is full. */
  void OnShed(leaf_call call, time_point now);

  /** The leaf failed, or its answer was unusable. */
  void OnFailure(leaf_call call, leaf_failure failure, time_point now);

  /** The leaf answered with an error of its own. */
  void OnErrorStatus(leaf_call call, time_point now);

  /** A connection was opened after an ejection. */
  void OnProbeSucceeded();

  /** No connection could be opened after an ejection. */
  void OnProbeFailed(time_point now);

  std::uint32_t Open() const {
    return static_cast<std::uint32_t>(open_.size());
  }

  /** Latency relative to the usual one; decays towards 1. */
  double Slowness(time_point now) const;

  /** Share of recent requests that failed; decays towards 0. */
  double FailureRate(time_point now) const;

  /** A request is late and nothing was answered since it became so. */
  bool Stalled(time_point now) const;

  /** Failed so often in a row that it gets no work until ProbeAt(). */
  bool Ejected(time_point now) const { return now < ejected_until_; }

  /** True until a new connection shows that something listens there. */
  bool OnProbation() const { return consecutive_failures_ >= kFailuresToEject; }

  /** Most requests that this host may have open there. */
  const concurrency_window& Window() const { return window_; }

 private:
  /** Failures in a row that eject a leaf. */
  static constexpr std::uint32_t kFailuresToEject = 3;

  bool RemoveCall(leaf_call call, open_call& removed);
  void CountFailure(time_point now);
  void AddFailure(time_point now);
  void Eject(time_point now);

  std::vector<open_call> open_;  ///< In order of sending.
  double slowness_ = 1;          ///< At slowness_at_.
  time_point slowness_at_{};
  double failure_rate_ = 0;  ///< At failure_at_.
  time_point failure_at_{};
  concurrency_window window_;
  time_point last_answer_{};  ///< Last sign of progress.
  time_point last_late_{};    ///< Last answer that was counted as late.
  std::uint32_t consecutive_failures_ = 0;  ///< Failures since the last answer.
  duration backoff_{};                      ///< Length of the last ejection.
  time_point ejected_until_{};
};

}  // namespace corianderrail::gateway
