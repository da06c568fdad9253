/** @file index_type.h The sharded index: leafs, services and partition maps. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/time_type.h"

namespace corianderrail {

/** Half-open range of keys [begin, end). */
struct key_range {
  std::uint64_t begin = 0;  ///< First key of the range.
  std::uint64_t end = 0;    ///< One past the last key.

  auto operator<=>(const key_range&) const = default;

  template <typename Visitor>
  void VisitFields(Visitor&& visit) {
    visit(begin, end);
  }
};

/** One upstream process that serves a part of the index. */
struct leaf_info {
  leaf_id id{};                   ///< Hash of the address.
  std::string address;            ///< IP number and port.
  std::string zone;               ///< Availability zone.
  std::uint32_t slots = 0;        ///< Requests that it runs concurrently.
  std::uint32_t connections = 0;  ///< Connections it accepts from all hosts.
  bool leaving = false;           ///< Published as about to stop.

  bool operator==(const leaf_info&) const = default;
};

/** Replica set of leafs; one owner host schedules all work for it. */
struct service_info {
  std::string name;            ///< Unique within the topology.
  collection_id collection{};  ///< Collection whose partitions it holds.
  std::string zone;  ///< Zone of its first leaf; preferred for its owner.
  std::vector<leaf_info> leafs;  ///< Replicas of the service.

  bool operator==(const service_info&) const = default;
};

/** Part of the key space, held by one service. */
struct partition {
  key_range range;                ///< Keys of this partition.
  service_id service{};           ///< Service that holds it.
  std::vector<leaf_id> replicas;  ///< Leafs of the service that hold it.

  bool operator==(const partition&) const = default;
};

/** Partitions of one snapshot. A complete map is sorted by key and has neither
 *  overlaps nor gaps. */
struct partition_map {
  snapshot_id snapshot{};             ///< Index version that it describes.
  std::vector<partition> partitions;  ///< Indexed by partition_id.

  bool operator==(const partition_map&) const = default;
};

/** An index that queries run over. */
struct collection_info {
  std::string name;                 ///< Unique within the topology.
  std::vector<partition_map> maps;  ///< Oldest snapshot first; at least one.

  bool operator==(const collection_info&) const = default;
};

/** Published description of the upstreams. */
struct topology {
  std::uint64_t version = 0;  ///< Increases with each publication.
  std::vector<collection_info> collections;  ///< Indexed by collection_id.
  std::vector<service_info> services;        ///< Indexed by service_id.

  bool operator==(const topology&) const = default;
};

}  // namespace corianderrail
