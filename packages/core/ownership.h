/** @file ownership.h Which host owns a service. */

#pragma once

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
 * else in its region, else anywhere.
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

 private:
  void Recompute();

  std::uint32_t block_size_;
  std::vector<member_record> members_;
  std::vector<service_info> services_;
  std::vector<std::optional<host_ref>> owners_;
};

}  // namespace corianderrail
