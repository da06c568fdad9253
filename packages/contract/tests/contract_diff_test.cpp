/** @file contract_diff_test.cpp Tests of the diff of two contract sets. */

#include "contract/contract_diff.h"

#include "contract_fixture.h"

namespace corianderrail {
namespace {

/** Two equal sets; each test changes `after`. */
struct diff_fixture : contract_fixture {
  contract_set before = *ValidateContracts(Documents()).set;
  contract_set after = before;
};

// Guards against a type of change that is missing from the diff that operators
// review before they publish a set.
TEST_CASE_METHOD(diff_fixture, "Diff_EveryKindOfChange_IsListed") {
  after.seats = {"127.0.0.1:7000", "127.0.0.1:7002"};
  after.customers.erase("bakery");
  customer_contract& mill_contract = after.customers.at("mill");
  mill_contract.floor[RankIndex(rank::normal)] = 250'000;
  mill_contract.work[0].rate_per_s = 150;
  mill_contract.work[1].kind = "book";
  std::vector<contract_change> expected = {
      {change_kind::removed, contract_field::seat, "", "", "127.0.0.1:7001",
       ""},
      {change_kind::added, contract_field::seat, "", "", "", "127.0.0.1:7002"},
      {change_kind::removed, contract_field::customer, "bakery", "", "bakery",
       ""},
      {change_kind::changed, contract_field::floor_normal, "mill", "", "0.3",
       "0.25"},
      {change_kind::removed, contract_field::work, "mill", "reserve", "reserve",
       ""},
      {change_kind::changed, contract_field::rate_per_s, "mill", "search",
       "100", "150"},
      {change_kind::added, contract_field::work, "mill", "book", "", "book"},
  };
  CHECK(DiffContracts(before, after) == expected);
}

// Guards against listing a new revision of unchanged content as a change.
TEST_CASE_METHOD(diff_fixture, "Diff_OnlyRevisionsDiffer_IsEmpty") {
  after.revision = revision_id{8};
  after.customers.at("mill").revision = revision_id{8};
  CHECK(DiffContracts(before, after).empty());
}

// Guards against a new field of work_contract that the diff does not compare.
TEST_CASE_METHOD(diff_fixture, "Diff_EachWorkField_IsCompared") {
  work_contract& work = after.customers.at("mill").work[0];
  work.type = work_type::order;
  work.collection = "other";
  work.urgency = rank::background;
  work.rate_per_s = 1;
  work.burst = 1;
  work.latency_target = duration(1);
  work.deadline_max = duration(2);
  work.min_coverage = 3;
  CHECK(DiffContracts(before, after).size() == 8);
}

}  // namespace
}  // namespace corianderrail
