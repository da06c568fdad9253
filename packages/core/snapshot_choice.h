/** @file snapshot_choice.h Chooses the snapshot that a query reads. */

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
 * Chooses the snapshot with the fewest partitions whose service is known to
 * lack it; of equals, the newest. Publication does not imply that the leafs
 * have loaded a snapshot, so the choice relies on the results of earlier
 * queries.
 */
class snapshot_choice {
 public:
  void SetTopology(std::shared_ptr<const topology> value);

  /** Updates what a service is known to hold, from a result for `queried`. */
  void OnResult(const part_result& part, snapshot_id queried, time_point now);

  /** @return Complete map to plan on; null if there is none. */
  const partition_map* Best(collection_id collection, time_point now);

  /**
   * @param pinned Snapshot that at least one service could not read.
   * @return Map with fewer partitions whose service lacks it, or a newer one
   * with no more of them; the best map if the pinned one is no longer
   * published; null if there is none of these.
   */
  const partition_map* Better(collection_id collection, snapshot_id pinned,
                              time_point now) const;

 private:
  /** Snapshot that a service could not read. */
  struct missing_snapshot {
    snapshot_id snapshot{};    ///< Snapshot that is missing.
    time_point reported_at{};  ///< Time of the latest report; 0 if unused.
  };

  /// Missing snapshots recorded per service. A publisher keeps two or three
  /// snapshots at a time.
  static constexpr std::size_t kMaxMissing = 4;

  /** Snapshots that a service is known to hold or lack. */
  struct service_view {
    snapshot_id newest{};      ///< Newest snapshot reported or read.
    time_point reported_at{};  ///< Time of the last report; 0 if none.
    std::array<missing_snapshot, kMaxMissing> missing;  ///< Ring buffer.
    std::size_t next_missing = 0;  ///< Next entry to overwrite.
  };

  /** Choice for one collection. */
  struct collection_view {
    std::vector<const partition_map*> maps;  ///< Complete maps, oldest first.
    const partition_map* best = nullptr;     ///< Last choice.
    time_point until{};  ///< Time from which to choose again.
  };

  /** Map with the number of its partitions whose service lacks it. */
  struct candidate {
    const partition_map* map = nullptr;  ///< Null if there is none.
    std::size_t lacking = 0;             ///< Partitions not expected to answer.
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
