/**
 * @file performance_report.cpp Figures to send, and their receivers.
 *
 * The messages must not grow with the fleet: each host that takes clients sends
 * one figure per leaf that differs, once a second, to three hosts.
 */

#include "gateway/leafs/performance_report.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

#include "core/stable_hash.h"

namespace corianderrail::gateway {

namespace {

/** A leaf differs beyond these levels; below them, the choice between leafs
 *  hardly changes. */
constexpr double kSlowLevel = 1.3;
constexpr double kFastLevel = 0.75;

/** Figures of a leaf that has returned to the usual are sent for this time, so
 *  that most hosts of the region get one. */
constexpr duration kReturnedTime = std::chrono::seconds(3);

/** Part of a message for leafs that have returned. */
constexpr std::size_t kMaxReturned = kMaxLeafFigures / 4;

/** Receivers of one round of figures. */
constexpr std::size_t kMaxReceivers = 3;

/** Time in which a host counts as just started: in about 2 s of traffic it
 *  learns from its own answers. */
constexpr duration kStartedTime = std::chrono::seconds(4);

bool Differs(double slowness) {
  return slowness >= kSlowLevel || slowness <= kFastLevel;
}

leaf_figure FigureOf(const leaf_state& leaf, const performance_level& level) {
  leaf_figure figure;
  figure.boot = leaf.boot;
  figure.slowness_permille =
      static_cast<std::uint32_t>(std::lround(level.slowness * 1000));
  figure.samples = level.samples;
  figure.age_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(level.age).count());
  return figure;
}

double Difference(const leaf_figure& figure) {
  return std::abs(std::log(std::max(figure.slowness_permille, 1u) / 1000.0));
}

}  // namespace

std::vector<leaf_figure> performance_report::Take(
    leaf_directory& leafs, time_point now,
    std::vector<performance_change>& changes) {
  std::vector<leaf_figure> differing;
  std::vector<leaf_figure> returned;
  leafs.Visit([&](const leaf_state& leaf) {
    const auto level = leaf.monitor.Performance().Level(now);
    if (!level) return;
    const bool differs = Differs(level->slowness);
    const auto found = tracked_.find(leaf.boot);
    if (!differs && found == tracked_.end()) return;
    tracked_leaf& tracked = tracked_[leaf.boot];
    if (tracked.differs != differs) changes.push_back({&leaf, *level, differs});
    tracked.differs = differs;
    if (differs) tracked.seen = now;
    (differs ? differing : returned).push_back(FigureOf(leaf, *level));
  });
  std::erase_if(tracked_, [&](const auto& one) {
    return now - one.second.seen > kReturnedTime;
  });
  differing_ = differing.size();
  std::sort(differing.begin(), differing.end(),
            [](const leaf_figure& a, const leaf_figure& b) {
              return Difference(a) > Difference(b);
            });
  if (returned.size() > kMaxReturned) returned.resize(kMaxReturned);
  differing.resize(
      std::min(differing.size(), kMaxLeafFigures - returned.size()));
  differing.insert(differing.end(), returned.begin(), returned.end());
  return differing;
}

figure_receivers::figure_receivers(std::string self, std::string region,
                                   entry_settings settings)
    : self_(std::move(self)),
      region_(std::move(region)),
      settings_(settings),
      next_started_(HashBytes(self_)),
      next_entry_(HashBytes(self_)) {}

bool figure_receivers::HasJustStarted(const member_record& member,
                                      time_point now) {
  known_host& known = known_[member.ref.host];
  if (known.incarnation != member.ref.incarnation) {
    known.incarnation = member.ref.incarnation;
    known.since = knows_fleet_ ? now : now - kStartedTime;
  }
  return now - known.since < kStartedTime;
}

std::vector<const member_record*> figure_receivers::Next(
    std::span<const member_record> members, time_point now) {
  std::vector<const member_record*> started;
  std::set<std::string_view> zones;
  std::set<host_id> present;
  for (const member_record& member : members) {
    if (member.region != region_ || member.state != member_state::alive)
      continue;
    zones.insert(member.zone);
    present.insert(member.ref.host);
    const bool fresh = HasJustStarted(member, now);
    if (fresh && member.peer_address != self_) started.push_back(&member);
  }
  knows_fleet_ = true;
  std::erase_if(known_,
                [&](const auto& one) { return !present.contains(one.first); });
  std::vector<const member_record*> chosen;
  TakeInTurn(started, next_started_, chosen);
  std::vector<const member_record*> entries;
  for (const std::string_view zone : zones) {
    for (const member_record* one : ActiveEntries(members, zone, settings_)) {
      const bool taken =
          std::find(chosen.begin(), chosen.end(), one) != chosen.end();
      if (one->peer_address != self_ && !taken) entries.push_back(one);
    }
  }
  TakeInTurn(entries, next_entry_, chosen);
  return chosen;
}

/** Adds hosts from a turn on, until there are enough receivers. */
void figure_receivers::TakeInTurn(std::span<const member_record* const> from,
                                  std::uint64_t& turn,
                                  std::vector<const member_record*>& chosen) {
  for (std::size_t i = 0; i < from.size() && chosen.size() < kMaxReceivers;
       ++i) {
    chosen.push_back(from[turn++ % from.size()]);
  }
}

}  // namespace corianderrail::gateway
