/** @file ownership.h Which host owns a service. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/index_type.h"
#include "core/member_type.h"

namespace corianderrail {

/**
 * Chooses the owner of a service by rendezvous hashing over the candidates:
 * members that are alive and ready in the service's zone if there are any,
 * else in its region, else anywhere. The region of a zone is taken from the
 * members of that zone.
 */
class ownership {
 public:
  /** @param block_size Consecutive services of a collection with one owner. */
  explicit ownership(std::uint32_t block_size = 1);

  /** Replaces the members; only those alive (or suspect) and ready count. */
  void SetMembers(std::span<const member_record> members);

  /** Replaces the services. */
  void SetServices(std::span<const service_info> services);

  /** Owner of a service, or nothing when no host is ready. */
  std::optional<host_ref> OwnerOf(service_id service) const;

  /** Services owned by a host, in order. */
  std::vector<service_id> OwnedBy(host_id host) const;

  /** Weights computed since construction; a measure of the work done. */
  std::uint64_t WeightsComputed() const { return weights_computed_; }

 private:
  /** A member that may own services. */
  struct candidate {
    host_ref ref;              ///< Host and life.
    std::uint32_t zone = 0;    ///< Index of its zone's name.
    std::uint32_t region = 0;  ///< Index of its region's name.
    bool operator==(const candidate&) const = default;
  };

  /** Services that share an owner. */
  struct block {
    std::uint64_t key = 0;          ///< Hash of collection and block index.
    std::uint32_t zone = 0;         ///< Zone of its first service.
    std::uint32_t region = 0;       ///< Region of that zone; 0 when unknown.
    std::optional<host_ref> owner;  ///< Best candidate.
    std::uint32_t tier = 0;         ///< 0 same zone, 1 same region, 2 other.
    std::uint64_t weight = 0;       ///< Weight of the owner.
  };

  std::uint32_t NameIndex(const std::string& name);
  std::vector<candidate> CandidatesOf(std::span<const member_record> members);
  bool UpdateRegions(std::span<const member_record> members);
  void UpdateOwner(block& target, const candidate& challenger);
  void Recompute(block& target);

  std::uint32_t block_size_;
  std::map<std::string, std::uint32_t> names_;  ///< Zone and region names.
  std::map<std::uint32_t, std::uint32_t> region_of_zone_;
  std::vector<candidate> candidates_;  ///< Sorted by host.
  std::vector<block> blocks_;
  std::vector<std::uint32_t> block_of_;  ///< Block of each service.
  std::uint64_t weights_computed_ = 0;
};

}  // namespace corianderrail
