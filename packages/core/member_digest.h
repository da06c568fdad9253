/** @file member_digest.h Digest of a member table. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/member_table.h"

namespace corianderrail {

/** Maximum number of groups of members in a digest. */
inline constexpr std::size_t kMaxDigestBuckets = 256;

/** Number of groups for a table: each has a few members. */
std::size_t DigestBuckets(const member_table& table);

/** Group of a member among `buckets` groups. */
std::size_t DigestBucket(host_id host, std::size_t buckets);

/**
 * Digests of all groups. Two hosts with the same digest of a group have the
 * same versions of its members. Suspicions and gone members are left out,
 * because hosts drop them at different times.
 */
std::vector<std::uint64_t> DigestMembers(const member_table& table,
                                         const member_record& self,
                                         std::size_t buckets);

}  // namespace corianderrail
