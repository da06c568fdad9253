/** @file ownership.h Assignment of services to owner hosts. */

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
 * Chooses the owner of a service by rendezvous hashing over the ready members
 * that are alive or suspect: those in the service's zone if there are any, else
 * those in its region, else all. The region of a zone is taken from the members
 * of that zone.
 */
class ownership {
 public:
  /** @param block_size Number of consecutive services of a collection that have
   *      the same owner. */
  explicit ownership(std::uint32_t block_size = 1);

  /** Replaces the members and updates the owners. */
  void SetMembers(std::span<const member_record> members);

  /** Replaces the services and recomputes all owners. */
  void SetServices(std::span<const service_info> services);

  /** Owner of a service; nothing if no host is ready or the service is unknown.
   */
  std::optional<host_ref> OwnerOf(service_id service) const;

  /** Services owned by a host, in ascending order. */
  std::vector<service_id> OwnedBy(host_id host) const;

  /** Number of rendezvous weights computed since construction. */
  std::uint64_t WeightsComputed() const { return weights_computed_; }

 private:
  /** A member that may own services. */
  struct candidate {
    host_ref ref;              ///< Host and incarnation.
    std::uint32_t zone = 0;    ///< Index of its zone's name.
    std::uint32_t region = 0;  ///< Index of its region's name.
    bool operator==(const candidate&) const = default;
  };

  /** Services that share an owner. */
  struct block {
    std::uint64_t key = 0;          ///< Hash of collection and block index.
    std::uint32_t zone = 0;         ///< Zone of its first service.
    std::uint32_t region = 0;       ///< Region of that zone; 0 when unknown.
    std::optional<host_ref> owner;  ///< Nothing when no host is ready.
    std::uint32_t tier =
        0;  ///< Of the owner: 0 same zone, 1 same region, 2 other.
    std::uint64_t weight = 0;  ///< Rendezvous weight of the owner.
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
