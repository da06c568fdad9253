/** @file member_digest.cpp Sums of hashes, so that the order does not matter.
 */

#include "core/member_digest.h"

#include <algorithm>
#include <bit>

#include "core/stable_hash.h"

namespace corianderrail {

namespace {

/** A difference costs the records of its whole group. */
constexpr std::size_t kMembersPerBucket = 4;
constexpr std::size_t kMinDigestBuckets = 16;

std::uint64_t HashOf(const member_record& record) {
  const std::uint64_t version =
      MixHash(Raw(record.ref.incarnation)) + record.version;
  return MixHash(Raw(record.ref.host) ^ MixHash(version));
}

}  // namespace

std::size_t DigestBuckets(const member_table& table) {
  const std::size_t wanted = (table.Size() + 1) / kMembersPerBucket;
  return std::clamp(std::bit_ceil(std::max<std::size_t>(wanted, 1)),
                    kMinDigestBuckets, kMaxDigestBuckets);
}

std::size_t DigestBucket(host_id host, std::size_t buckets) {
  return MixHash(Raw(host)) % buckets;
}

std::vector<std::uint64_t> DigestMembers(const member_table& table,
                                         const member_record& self,
                                         std::size_t buckets) {
  std::vector<std::uint64_t> digests(buckets);
  digests[DigestBucket(self.ref.host, buckets)] += HashOf(self);
  table.Visit([&](const member_entry& entry) {
    if (entry.record.state == member_state::gone) return;
    digests[DigestBucket(entry.record.ref.host, buckets)] +=
        HashOf(entry.record);
  });
  return digests;
}

}  // namespace corianderrail
