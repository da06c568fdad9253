/** @file mutation_test.cpp Property tests of the parsers with mutated
 * documents. */

#include <rapidcheck.h>

#include <array>
#include <numeric>
#include <set>

#include "contract/topology_parser.h"
#include "contract_fixture.h"

namespace corianderrail {
namespace {

constexpr std::array<std::string_view, 27> kFragments = {
    "=",           "[",
    "]",           "{",
    "}",           "\"",
    "\n",          "-1",
    "0",           "nan",
    "inf",         "1e400",
    "2",           "1.5",
    "0.1",         "\\u0000",
    "\xff",        "[[work]]",
    "[floor]",     "# ",
    "a.b.c = 1\n", "9223372036854775807",
    "true",        "\"urgent\"",
    "1979-05-27",  "'''",
    "\r"};

constexpr std::array<std::string_view, 21> kValues = {
    "0",   "1",    "2",   "7",    "0.001",  "0.2",      "0.95",
    "1.0", "1.01", "600", "-0.0", "nan",    "1000000",  "10000001",
    "inf", "99.5", "400", "true", "5e-324", "600000.1", "\"order\""};

/** Replaces a random number in the text by one of kValues. */
void ReplaceNumber(std::string& text) {
  auto from = *rc::gen::inRange<std::size_t>(0, text.size());
  std::size_t begin = text.find_first_of("0123456789", from);
  if (begin == std::string::npos) return;
  std::size_t end = text.find_first_not_of("0123456789.", begin);
  text.replace(begin, end - begin, *rc::gen::elementOf(kValues));
}

/** Replaces up to 11 bytes by one of kFragments. */
void ReplaceBytes(std::string& text) {
  auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
  auto length = *rc::gen::inRange<std::size_t>(0, 12);
  std::string_view fragment = *rc::gen::elementOf(kFragments);
  text.replace(at, std::min(length, text.size() - at), fragment);
}

/** Applies up to 3 random edits, all of one type: half of the texts get other
 *  numbers only, so that they reach the checks behind the parser. */
std::string Mutate(std::string text) {
  auto edit = *rc::gen::element(&ReplaceNumber, &ReplaceBytes);
  int edits = *rc::gen::inRange(1, 4);
  for (int i = 0; i < edits; ++i) edit(text);
  return text;
}

void CheckBounds(const customer_contract& contract) {
  RC_ASSERT(std::accumulate(contract.floor.begin(), contract.floor.end(),
                            std::uint64_t{0}) <= kWholePpm);
  RC_ASSERT(!contract.work.empty());
  RC_ASSERT(contract.work.size() <= kMaxKinds);
  std::set<std::string> kinds;
  for (const work_contract& work : contract.work) {
    RC_ASSERT(kinds.insert(work.kind).second);
    RC_ASSERT(!work.kind.empty());
    RC_ASSERT(!work.collection.empty());
    RC_ASSERT(work.rate_per_s >= kMinRatePerS);
    RC_ASSERT(work.rate_per_s <= kMaxRatePerS);
    RC_ASSERT(work.burst >= 1u);
    RC_ASSERT(work.burst <= kMaxBurst);
    RC_ASSERT(work.latency_target.count() >= 1'000);
    RC_ASSERT(work.deadline_max >= work.latency_target);
    RC_ASSERT(work.deadline_max <= std::chrono::minutes(10));
    RC_ASSERT(work.min_coverage <= kWholePpm);
    RC_ASSERT(work.type == work_type::query || work.min_coverage == 0);
  }
}

// Guards against invalid contracts that crash a host or are accepted with
// values out of range.
TEST_CASE_METHOD(contract_fixture, "Mutated_Contract_StaysWithinBounds") {
  CHECK(rc::check([this] {
    contract_fixture altered = *this;
    altered.mill = Mutate(mill);
    contract_verdict verdict = ValidateContracts(altered.Documents());
    RC_ASSERT((verdict.set == nullptr) ==
              (verdict.fault != contract_fault::none));
    RC_ASSERT(verdict.reason.empty() ==
              (verdict.fault == contract_fault::none));
    RC_ASSERT(verdict.reason.find('\n') == std::string::npos);
    RC_TAG(verdict.set != nullptr);
    if (verdict.set == nullptr) return;
    for (const auto& [name, contract] : verdict.set->customers) {
      CheckBounds(contract);
    }
  }));
}

// Guards against invalid set documents that crash a host or are accepted
// although they do not match the contracts.
TEST_CASE_METHOD(contract_fixture, "Mutated_Set_StaysConsistent") {
  CHECK(rc::check([this] {
    std::vector<contract_document> documents = Documents();
    documents[0].bytes = Mutate(documents[0].bytes);
    contract_verdict verdict = ValidateContracts(documents);
    if (verdict.set == nullptr) {
      RC_ASSERT(!verdict.reason.empty());
      return;
    }
    RC_ASSERT(verdict.set->revision == revision_id{7});
    RC_ASSERT(!verdict.set->seats.empty());
    for (const auto& [name, contract] : verdict.set->customers) {
      RC_ASSERT(contract.revision <= verdict.set->revision);
    }
  }));
}

// Guards against invalid topologies that crash a host or are accepted with gaps
// in the key space or with partitions that have no replicas.
TEST_CASE("Mutated_Topology_CoversTheKeySpace") {
  const std::string good = R"(format = 1
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
leafs = ["127.0.0.1:21002 zone-a"]
[[map]]
collection = "grain"
snapshot = 4
partition = [
{begin = 0, end = 400, service = "grain-1"},
{begin = 400, end = 1000, service = "grain-2", replicas = ["127.0.0.1:21002"]}]
[[map]]
collection = "grain"
snapshot = 5
)";
  CHECK(rc::check([&good] {
    topology_verdict verdict = ParseTopology(Mutate(good));
    if (verdict.value == nullptr) {
      RC_ASSERT(!verdict.reason.empty());
      return;
    }
    for (const collection_info& collection : verdict.value->collections) {
      RC_ASSERT(!collection.maps.empty());
      for (const partition_map& map : collection.maps) {
        std::uint64_t end = 0;
        for (const partition& part : map.partitions) {
          RC_ASSERT(part.range.begin == end);
          RC_ASSERT(part.range.end > end);
          RC_ASSERT(!part.replicas.empty());
          RC_ASSERT(Raw(part.service) < verdict.value->services.size());
          end = part.range.end;
        }
        RC_ASSERT(end > 0u);
      }
    }
  }));
}

// Guards against a stack overflow in the parser or in destructors. Each dot of
// a dotted key nests one table, and both recurse once per table.
TEST_CASE("Nested_DeepestAccepted_DoesNotOverflowTheStack") {
  std::string dots = "a";
  while (dots.size() + 10 < 500) dots += ".a";
  std::string inner = "1";
  for (int i = 0; i < 3; ++i) {
    std::string outer = "[{";
    outer += dots;
    outer += " = \n";
    outer += inner;
    outer += "}]";
    inner = std::move(outer);
  }
  CHECK_FALSE(
      ValidateHead("[" + dots + "]\n" + dots + " = 1\n").reason.empty());
  CHECK_FALSE(ValidateHead(dots + " = " + inner + "\n").reason.empty());
  std::string line(1'000'000, '[');
  CHECK(ValidateHead("x = " + line).fault == contract_fault::too_large);
}

}  // namespace
}  // namespace corianderrail
