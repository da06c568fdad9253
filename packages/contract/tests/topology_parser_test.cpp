/** @file topology_parser_test.cpp Tests of the parser of topology documents. */

#include "contract/topology_parser.h"

#include <catch2/catch.hpp>

#include "contract/toml_reader.h"
#include "core/host_address.h"

namespace corianderrail {
namespace {

/** A valid document without maps, which each test adds. */
struct topology_fixture {
  std::string head = R"(format = 1
version = 3
key_space = 1000
[[collection]]
name = "grain"
slots = 2
connections = 25
[[service]]
name = "grain-1"
collection = "grain"
leafs = ["127.0.0.1:21000 zone-b", "127.0.0.1:21001 zone-a"]
[[service]]
name = "grain-2"
collection = "grain"
connections = 40
[[service.leaf]]
address = "127.0.0.1:21002"
zone = "zone-a"
slots = 6
leaving = true
[[service]]
name = "grain-3"
collection = "grain"
leafs = ["127.0.0.1:21003 zone-a"]
)";
  std::string map = "[[map]]\ncollection = \"grain\"\nsnapshot = ";

  std::shared_ptr<const topology> Parse(const std::string& maps) const {
    topology_verdict verdict = ParseTopology(head + maps);
    INFO(verdict.reason);
    REQUIRE(verdict.value != nullptr);
    return verdict.value;
  }
};

// Guards against default limits of a collection or service that are not applied
// to their leafs, in both notations of a leaf.
TEST_CASE_METHOD(topology_fixture, "Topology_BothForms_GiveLeafs") {
  std::shared_ptr<const topology> value = Parse(map + "5\n");
  REQUIRE(value->services.size() == 3);
  CHECK(value->version == 3);
  CHECK(value->services[0].zone == "zone-b");
  leaf_info leaf = value->services[0].leafs[1];
  CHECK(leaf.id == LeafIdOf("127.0.0.1:21001"));
  CHECK(leaf.zone == "zone-a");
  CHECK(leaf.slots == 2);
  CHECK(leaf.connections == 25);
  CHECK_FALSE(leaf.leaving);
  leaf_info full = value->services[1].leafs[0];
  CHECK(full.slots == 6);
  CHECK(full.connections == 40);
  CHECK(full.leaving);
}

// Guards against gaps between ranges when the key space is not a multiple of
// the number of services.
TEST_CASE_METHOD(topology_fixture, "Topology_NoPartitions_SpreadsEvenly") {
  std::shared_ptr<const topology> value = Parse(map + "5\n");
  const auto& partitions = value->collections[0].maps[0].partitions;
  REQUIRE(partitions.size() == 3);
  CHECK(partitions[0].range == key_range{0, 334});
  CHECK(partitions[1].range == key_range{334, 667});
  CHECK(partitions[2].range == key_range{667, 1000});
  CHECK(partitions[0].replicas.size() == 2);
}

// Guards against maps in document order. Their users take the newest map from
// the end, so they must be sorted by snapshot.
TEST_CASE_METHOD(topology_fixture, "Topology_TwoMaps_AreSortedBySnapshot") {
  std::string explicit_map = map +
                             "9\npartition = [\n"
                             "{begin = 0, end = 400, service = \"grain-1\","
                             "replicas = [\"127.0.0.1:21001\"]},\n"
                             "{begin = 400, end = 1000, service = \"grain-3\"}"
                             "]\n";
  std::shared_ptr<const topology> value = Parse(explicit_map + map + "5\n");
  const auto& maps = value->collections[0].maps;
  REQUIRE(maps.size() == 2);
  CHECK(maps[0].snapshot == snapshot_id{5});
  REQUIRE(maps[1].partitions.size() == 2);
  CHECK(maps[1].partitions[0].replicas ==
        std::vector<leaf_id>{LeafIdOf("127.0.0.1:21001")});
  CHECK(maps[1].partitions[1].service == service_id{2});
}

// Guards against a small document with many maps that makes a host create
// millions of partitions.
TEST_CASE_METHOD(topology_fixture, "Topology_TooManyMaps_IsRefused") {
  std::string maps;
  for (std::size_t i = 1; i <= kMaxMapsPerCollection; ++i) {
    maps += map + std::to_string(i) + "\n";
  }
  CHECK(Parse(maps)->collections[0].maps.size() == kMaxMapsPerCollection);
  topology_verdict verdict = ParseTopology(head + maps + map + "99\n");
  CHECK(verdict.fault == contract_fault::too_large);
  CHECK_THAT(verdict.reason, Catch::Contains("remove the oldest"));
}

// Guards against an integer overflow when the largest key space is split.
TEST_CASE_METHOD(topology_fixture, "Topology_LargestKeySpace_HasNoGaps") {
  head.replace(head.find("1000"), 4, "9223372036854775807");
  std::shared_ptr<const topology> value = Parse(map + "1\n");
  std::uint64_t end = 0;
  for (const partition& part : value->collections[0].maps[0].partitions) {
    CHECK(part.range.begin == end);
    CHECK(part.range.end > part.range.begin);
    end = part.range.end;
  }
  CHECK(end == kMaxInteger);
}

// Guards against a format in which a topology of 18,000 leafs, the fleet size
// that is planned for two years ahead, exceeds the largest value that the
// configuration service can serve.
TEST_CASE("Topology_TwoYearSize_FitsOneDocument") {
  constexpr int kServices = 6'000;
  constexpr int kReplicas = 3;
  std::string bytes =
      "format = 1\nversion = 1\nkey_space = 9223372036854775807\n"
      "[[collection]]\nname = \"ledger-view\"\nslots = 2\nconnections = 100\n"
      "[[map]]\ncollection = \"ledger-view\"\nsnapshot = 1\n";
  int leaf = 0;
  for (int service = 0; service < kServices; ++service) {
    bytes += "[[service]]\nname=\"s" + std::to_string(service) +
             "\"\ncollection=\"ledger-view\"\nleafs=[";
    for (int replica = 0; replica < kReplicas; ++replica, ++leaf) {
      bytes += "\"10.1" + std::to_string(10 + leaf / 60'000) + ".1" +
               std::to_string(leaf / 200 % 90 + 10) + "." +
               std::to_string(leaf % 200 + 10) + ":21000 eu-west-" +
               std::to_string(replica) + "\",";
    }
    bytes += "]\n";
  }
  INFO("bytes " << bytes.size());
  CHECK(bytes.size() <= kMaxDocumentBytes);
  topology_verdict verdict = ParseTopology(bytes);
  INFO(verdict.reason);
  REQUIRE(verdict.value != nullptr);
  CHECK(verdict.value->services.size() == kServices);
  CHECK(verdict.value->collections[0].maps[0].partitions.size() == kServices);
}

}  // namespace
}  // namespace corianderrail
