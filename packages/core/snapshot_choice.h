/** @file snapshot_choice.h Which snapshot of a collection to query. */

#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

#include "core/id_type.h"
#include "core/index_type.h"
#include "core/peer_message_type.h"
#include "core/time_type.h"

namespace corianderrail {

/**
 * Chooses the snapshot that the fewest services are known to lack, the newer
 * one of equals. Publication alone does not show that the leafs have loaded a
 * snapshot; the results of earlier queries do.
 */
class snapshot_choice {
 public:
  void SetTopology(std::shared_ptr<const topology> value);

  /** Learns what a service holds from a result for snapshot `asked`. */
  void OnResult(const part_result& part, snapshot_id queried, time_point now);

  /** @return Complete map to plan on, or nullptr when there is none. */
  const partition_map* Best(collection_id collection, time_point now);

  /**
   * @param pinned Snapshot that at least one service was unable to read.
   * @return Map on which a query is more likely to be answered in whole, or
   *   nullptr when the pinned snapshot is as good as any other.
   */
  const partition_map* Better(collection_id collection, snapshot_id pinned,
                              time_point now) const;

 private:
  /** A snapshot that a service was unable to read. */
  struct missing_snapshot {
    snapshot_id snapshot{};    ///< The snapshot.
    time_point reported_at{};  ///< Time of the result; 0 if unused.
  };

  /// Snapshots remembered as lacked per service. A publisher keeps two or three
  /// at a time.
  static constexpr std::size_t kMaxMissing = 4;

  /** What a service has shown to hold. */
  struct service_view {
    snapshot_id newest{};      ///< Newest snapshot reported.
    time_point reported_at{};  ///< Time of that report; 0 if none.
    std::array<missing_snapshot, kMaxMissing>
        missing;                   ///< Overwritten in turn.
    std::size_t next_missing = 0;  ///< Entry to overwrite next.
  };

  /** Choice for one collection. */
  struct collection_view {
    std::vector<const partition_map*> maps;  ///< Complete, oldest first.
    const partition_map* best = nullptr;     ///< Last choice.
    time_point until{};                      ///< When to choose again.
  };

  /** A map with the number of services known to lack it. */
  struct candidate {
    const partition_map* map = nullptr;  ///< The map.
    std::size_t lacking = 0;             ///< Parts not expected to answer.
  };

  static bool RecordMissing(service_view& view, snapshot_id snapshot,
                            time_point now);
  static void ClearLoaded(service_view& view, snapshot_id newest);
  static bool ClearMissing(service_view& view, snapshot_id snapshot);
  bool Lacks(service_id service, snapshot_id snapshot, time_point now) const;
  std::size_t CountLacking(const partition_map& map, time_point now) const;
  candidate Choose(collection_id collection, time_point now,
                   const partition_map* excluded) const;

  std::shared_ptr<const topology> topology_;
  std::vector<service_view> services_;        ///< Indexed by service_id.
  std::vector<collection_view> collections_;  ///< Indexed by collection_id.
};

}  // namespace corianderrail
