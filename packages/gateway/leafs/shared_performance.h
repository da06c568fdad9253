/** @file shared_performance.h Performance of leafs as other hosts report it. */

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/id_type.h"
#include "core/peer_message_type.h"
#include "core/time_type.h"

namespace corianderrail::gateway {

/** Bounds of the slowness that figures of other hosts may cause. */
inline constexpr double kMinSharedSlowness = 0.5;
inline constexpr double kMaxSharedSlowness = 3.0;

/**
 * Latest figures of each host, for leafs of which this host has too few
 * answers. One host alone has no effect.
 */
class shared_performance {
 public:
  /** Replaces the figures of a host. */
  void OnFigures(host_id from, std::span<const leaf_figure> figures,
                 time_point now);

  /**
   * Slowness on which at least two of the other hosts and the own answers
   * agree: their median, or of two the one nearer to 1.
   * @param own_mean Mean of the recent own answers, if there is any.
   */
  std::optional<double> Slowness(leaf_boot boot, std::optional<double> own_mean,
                                 time_point now) const;

  std::size_t Hosts() const { return by_host_.size(); }

 private:
  /** One figure with its age turned into a time. */
  struct voice {
    leaf_boot boot{};
    double slowness = 1;
    time_point measured{};
  };
  struct host_figures {
    time_point received{};
    std::vector<voice> voices;  ///< Ordered by `boot`.
  };

  void MakeRoom();

  std::map<host_id, host_figures> by_host_;
};

/** Whether own answers alone determine the prediction.
 *  @param confidence Of leaf_performance. */
bool SupersedesShared(double confidence);

/**
 * Combines own and shared figures for a prediction.
 * @param own Own slowness.
 * @param confidence Of leaf_performance; gives the weight of `own`.
 */
double CombineSlowness(double own, double confidence, double shared);

}  // namespace corianderrail::gateway
