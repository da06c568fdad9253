/** @file contract_validate_test.cpp Tests of the validation of contract sets.
 */

#include "contract/contract_validate.h"

#include <algorithm>

#include "contract/document_tree.h"
#include "contract_fixture.h"

namespace corianderrail {
namespace {

// Guards against values that the parser drops or converts wrongly.
TEST_CASE_METHOD(contract_fixture, "Validate_GoodSet_KeepsEveryValue") {
  contract_verdict verdict = ValidateContracts(Documents());
  INFO(verdict.reason);
  REQUIRE(verdict.set != nullptr);
  CHECK(verdict.fault == contract_fault::none);
  CHECK(verdict.set->revision == revision_id{7});
  CHECK(verdict.set->seats.size() == 2);
  const customer_contract& contract = verdict.set->customers.at("mill");
  CHECK(contract.revision == revision_id{5});
  CHECK(contract.preference == answer_preference::latency);
  CHECK(contract.floor == per_rank<ppm>{500'000, 300'000, 100'000});
  REQUIRE(contract.work.size() == 2);
  work_contract reserve = contract.work[1];
  CHECK(reserve.type == work_type::order);
  CHECK(reserve.urgency == rank::normal);
  CHECK(reserve.rate_per_s == 2.5);
  CHECK(reserve.latency_target == std::chrono::milliseconds(80));
  CHECK(reserve.deadline_max == std::chrono::seconds(1));
  CHECK(contract.work[0].min_coverage == 900'000);
}

// Guards against a digest that depends on the order in which documents arrive:
// hosts with the same documents would compute different digests.
TEST_CASE_METHOD(contract_fixture, "Validate_AnyOrder_GivesSameDigest") {
  std::vector<contract_document> documents = Documents();
  contract_verdict first = ValidateContracts(documents);
  std::reverse(documents.begin(), documents.end());
  contract_verdict second = ValidateContracts(documents);
  REQUIRE(first.set != nullptr);
  REQUIRE(second.set != nullptr);
  CHECK(first.set->digest == second.set->digest);
  CHECK(first.set->documents == second.set->documents);
  CHECK(first.set->documents.front().key == "contracts/set/7");
}

// Guards against unlisted documents, such as older contracts that a host still
// holds, that change the digest or the result.
TEST_CASE_METHOD(contract_fixture, "Validate_UnlistedDocuments_AreIgnored") {
  std::vector<contract_document> documents = Documents();
  contract_verdict before = ValidateContracts(documents);
  documents.push_back({"contracts/mill/4", "not TOML ="});
  documents.push_back(documents.front());
  contract_verdict after = ValidateContracts(documents);
  REQUIRE(before.set != nullptr);
  REQUIRE(after.set != nullptr);
  CHECK(before.set->digest == after.set->digest);
}

// Guards against a host that validates a set before it holds all documents. The
// result must name the missing keys so that the host can fetch them.
TEST_CASE_METHOD(contract_fixture, "Validate_DocumentsMissing_NamesAllKeys") {
  std::vector<contract_document> documents = Documents();
  documents.resize(1);
  contract_verdict verdict = ValidateContracts(documents);
  CHECK(verdict.fault == contract_fault::missing_document);
  CHECK(verdict.set == nullptr);
  CHECK(verdict.missing_keys ==
        std::vector<std::string>{"contracts/bakery/7", "contracts/mill/5"});
}

// Guards against hosts that hold different subsets of an invalid set and report
// different reasons. Missing documents are reported first.
TEST_CASE_METHOD(contract_fixture, "Validate_MissingAndBad_ReportsMissing") {
  Replace(mill, "burst = 20", "burst = 0");
  std::vector<contract_document> documents = Documents();
  documents.pop_back();
  CHECK(ValidateContracts(documents).fault == contract_fault::missing_document);
  CHECK(ValidateContracts(Documents()).fault == contract_fault::out_of_range);
}

// Guards against floors that are valid for each customer, but whose largest
// values per rank sum to more than 1, so that no owner can guarantee them all.
TEST_CASE_METHOD(contract_fixture,
                 "Validate_LargestFloorsAboveOne_AreRefused") {
  Replace(bakery, "background = 0.1", "background = 0.4");
  contract_verdict verdict = ValidateContracts(Documents());
  CHECK(verdict.fault == contract_fault::contradiction);
  CHECK_THAT(verdict.reason, Catch::Contains("1200000 parts per million"));
}

// Guards against accepting two different documents with the same key and
// revision.
TEST_CASE_METHOD(contract_fixture, "Validate_TwoVersionsOfOneKey_AreRefused") {
  std::vector<contract_document> documents = Documents();
  documents.push_back({"contracts/mill/5", mill + "# changed\n"});
  contract_verdict verdict = ValidateContracts(documents);
  CHECK(verdict.fault == contract_fault::contradiction);
  std::reverse(documents.begin(), documents.end());
  CHECK(ValidateContracts(documents).reason == verdict.reason);
}

// Guards against a document that is larger than the configuration service can
// serve, so that hosts could not fetch it.
TEST_CASE_METHOD(contract_fixture, "Validate_OversizeDocument_IsRefused") {
  std::string filler(200, 'x');
  while (mill.size() <= 1'048'576) mill += "# " + filler + "\n";
  contract_verdict verdict = ValidateContracts(Documents());
  CHECK(verdict.fault == contract_fault::too_large);
  CHECK_THAT(verdict.reason, Catch::StartsWith("contracts/mill/5:1: "));
}

// Guards against parsing a head of a newer format as the current format.
TEST_CASE("ValidateHead_NewerFormat_IsRefused") {
  head_verdict verdict = ValidateHead("format = 2\nrevisions = [1]\n");
  CHECK(verdict.fault == contract_fault::newer_format);
  CHECK(verdict.reason ==
        "contracts/head:1: 'format' is 2; this version reads up to 1, install "
        "a newer version");
  CHECK(ValidateHead("format = 1\nrevision = 12\n").revision ==
        revision_id{12});
}

// Guards against an assembled set that hosts would reject, or whose revision is
// already in use.
TEST_CASE_METHOD(contract_fixture, "Assemble_NewContract_GivesValidNextSet") {
  std::vector<contract_document> documents = Documents();
  documents.push_back({"contracts/head", "format = 1\nrevision = 7\n"});
  Replace(mill, "rate_per_s = 100", "rate_per_s = 150");
  documents.push_back({"contracts/mill/9", mill});
  std::vector<document_fault> faults;
  contract_document set = AssembleSet(documents, {}, faults);
  REQUIRE(faults.empty());
  CHECK(set.key == "contracts/set/9");
  documents.push_back(set);
  contract_verdict verdict =
      ValidateContracts(DocumentsOfSet(documents, revision_id{9}));
  REQUIRE(verdict.set != nullptr);
  CHECK(verdict.set->seats.size() == 2);
  CHECK(verdict.set->customers.at("mill").work[0].rate_per_s == 150);
}

}  // namespace
}  // namespace corianderrail
