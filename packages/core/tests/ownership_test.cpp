/** @file ownership_test.cpp Tests of the choice of owners. */

#include "core/ownership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "core/host_address.h"
#include "core/random.h"

namespace corianderrail {
namespace {

member_record Member(std::uint64_t number, const std::string& zone,
                     const std::string& region) {
  member_record member;
  member.ref = {host_id{number}, incarnation_id{1}};
  member.zone = zone;
  member.region = region;
  member.ready = true;
  return member;
}

std::vector<service_info> Services(std::size_t count, const std::string& zone) {
  std::vector<service_info> services(count);
  for (auto& one : services) one.zone = zone;
  return services;
}

/** Members in three zones of two regions and services in zone "a". */
class ownership_fixture {
 protected:
  ownership_fixture() {
    members = {Member(1, "a", "r"), Member(2, "a", "r"), Member(3, "b", "r"),
               Member(4, "c", "q"), Member(5, "c", "q")};
    owners.SetServices(Services(60, "a"));
    owners.SetMembers(members);
  }

  /** Number of services owned by each host. */
  std::map<std::uint64_t, int> Counts() const {
    std::map<std::uint64_t, int> counts;
    for (std::uint32_t i = 0; i < 60; ++i) {
      const auto owner = owners.OwnerOf(service_id{i});
      ++counts[owner ? Raw(owner->host) : 0];
    }
    return counts;
  }

  std::vector<member_record> members;
  ownership owners;
};

// Guards against owners in another zone while the service's zone has members.
TEST_CASE_METHOD(ownership_fixture,
                 "Ownership_ReadyMembersInZone_OwnAllItsServices") {
  const auto counts = Counts();
  CHECK(counts.size() == 2);
  CHECK(counts.at(1) > 15);
  CHECK(counts.at(2) > 15);
}

// Guards against an owner in another region while the service's region has a
// member.
TEST_CASE_METHOD(ownership_fixture,
                 "Ownership_ZoneWithoutReadyMember_RegionThenAll") {
  members[0].ready = false;
  members[1].state = member_state::leaving;
  owners.SetMembers(members);
  CHECK(Counts() == std::map<std::uint64_t, int>{{3, 60}});
  members[2].state = member_state::gone;
  owners.SetMembers(members);
  CHECK(Counts().size() == 2);
  CHECK(Counts().contains(4));
  owners.SetMembers({});
  CHECK(Counts() == std::map<std::uint64_t, int>{{0, 60}});
}

// Guards against services that move because of an unconfirmed suspicion.
TEST_CASE_METHOD(ownership_fixture, "Ownership_SuspectMember_StaysOwner") {
  const auto before = Counts();
  members[0].state = member_state::suspect;
  owners.SetMembers(members);
  CHECK(Counts() == before);
}

// Guards against work sent to the previous incarnation of a restarted owner.
TEST_CASE_METHOD(ownership_fixture,
                 "Ownership_MemberRestarts_NewIncarnationOwns") {
  members[0].ref.incarnation = incarnation_id{2};
  owners.SetMembers(members);
  const auto owned = owners.OwnedBy(host_id{1});
  REQUIRE_FALSE(owned.empty());
  CHECK(owners.OwnerOf(owned[0])->incarnation == incarnation_id{2});
}

// Guards against a leaving member that moves services between the other hosts.
TEST_CASE_METHOD(ownership_fixture,
                 "Ownership_MemberLeaves_OnlyItsServicesMove") {
  members.push_back(Member(6, "a", "r"));
  owners.SetMembers(members);
  std::map<std::uint32_t, std::uint64_t> before;
  for (std::uint32_t i = 0; i < 60; ++i) {
    before[i] = Raw(owners.OwnerOf(service_id{i})->host);
  }
  members.erase(members.begin());
  owners.SetMembers(members);
  for (std::uint32_t i = 0; i < 60; ++i) {
    if (before[i] == 1) continue;
    CHECK(Raw(owners.OwnerOf(service_id{i})->host) == before[i]);
  }
}

// Guards against incremental updates that give other owners than a full
// computation, so that hosts would disagree.
TEST_CASE("Ownership_IncrementalChanges_SameAsFullComputation") {
  random_source random(1);
  std::vector<service_info> services;
  for (std::size_t i = 0; i < 40; ++i) {
    services.push_back({"",
                        collection_id{static_cast<std::uint32_t>(i % 3)},
                        std::string(1, static_cast<char>('a' + i % 5)),
                        {}});
  }
  ownership stepwise(4);
  stepwise.SetServices(services);
  std::vector<member_record> members;
  for (int step = 0; step < 300; ++step) {
    const std::uint64_t number = 1 + random.Below(30);
    std::erase_if(members, [&](const member_record& one) {
      return Raw(one.ref.host) == number;
    });
    if (random.Below(3) != 0) {
      const auto letter = static_cast<char>('a' + random.Below(5));
      auto member =
          Member(number, std::string(1, letter), letter < 'c' ? "r" : "q");
      member.ready = random.Below(4) != 0;
      member.ref.incarnation = incarnation_id{random.Below(3)};
      members.push_back(member);
    }
    stepwise.SetMembers(members);
    ownership whole(4);
    whole.SetMembers(members);
    whole.SetServices(services);
    for (std::uint32_t i = 0; i < 40; ++i) {
      REQUIRE(stepwise.OwnerOf(service_id{i}) == whole.OwnerOf(service_id{i}));
    }
  }
}

// Guards against a block whose services have several owners. Each further owner
// costs a query one more message.
TEST_CASE("Ownership_BlockOfServices_OneOwner") {
  ownership owners(10);
  std::vector<member_record> members;
  for (std::uint64_t i = 1; i <= 20; ++i)
    members.push_back(Member(i, "a", "r"));
  owners.SetServices(Services(100, "a"));
  owners.SetMembers(members);
  std::map<std::uint64_t, int> counts;
  for (std::uint32_t i = 0; i < 100; ++i) {
    CHECK(owners.OwnerOf(service_id{i}) ==
          owners.OwnerOf(service_id{i - i % 10}));
    ++counts[Raw(owners.OwnerOf(service_id{i})->host)];
  }
  CHECK(counts.size() > 3);
}

// Guards against recomputing all weights on each membership change. At the size
// expected in two years, that is 21 million weights.
TEST_CASE("Ownership_OneChangeAtTwoYearSize_ComputesFewWeights") {
  std::vector<member_record> members;
  for (std::uint64_t i = 1; i <= 3500; ++i) {
    members.push_back(
        Member(i, "z" + std::to_string(i % 15), "r" + std::to_string(i % 3)));
  }
  std::vector<service_info> services(6000);
  for (std::size_t i = 0; i < services.size(); ++i) {
    services[i].zone = "z" + std::to_string(i % 15);
  }
  ownership owners;
  owners.SetServices(services);
  owners.SetMembers(members);
  const std::uint64_t before = owners.WeightsComputed();
  members[100].ready = false;
  owners.SetMembers(members);
  members[100].ready = true;
  owners.SetMembers(members);
  CHECK(owners.WeightsComputed() - before < 20'000);
}

// Guards against a service id from another topology version.
TEST_CASE_METHOD(ownership_fixture, "Ownership_UnknownService_HasNoOwner") {
  CHECK_FALSE(owners.OwnerOf(service_id{60}).has_value());
}

// Guards against identifiers that differ between builds, and the value 0,
// which means "none" in messages.
TEST_CASE("HostAddress_SameAddress_SameIdentifier") {
  CHECK(HostIdOf("10.0.0.1:7000") == HostIdOf("10.0.0.1:7000"));
  CHECK(HostIdOf("10.0.0.1:7000") != HostIdOf("10.0.0.2:7000"));
  CHECK(HashBytes("a") == 0xAF63DC4C8601EC8CULL);
  CHECK(HashAddress("") != 0);
}

}  // namespace
}  // namespace corianderrail
