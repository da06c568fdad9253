/** @file contract_validate.cpp Validation of published contract sets. */

#include "contract/contract_validate.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

#include "contract/contract_parser.h"
#include "contract/digest.h"

namespace corianderrail {

namespace {

using document_map = std::map<std::string, const contract_document*>;

/** Validates one contract set; the first fault is the one that is returned. */
class set_validation {
 public:
  explicit set_validation(std::span<const contract_document> documents);

  std::vector<document_fault> faults;
  std::vector<std::string> missing_keys;
  std::shared_ptr<const contract_set> set;

 private:
  void IndexDocuments(std::span<const contract_document> documents);
  const contract_document* FindSetDocument();
  void CheckHead();
  void CollectMissing();
  void ReadContract(const customer_entry& entry);
  void CheckFloors();
  void BuildSet();
  void AddFaults(const fault_list& list);
  void AddFault(contract_fault fault, const std::string& source,
                std::uint32_t line, const std::string& what);

  document_map documents_;
  const contract_document* set_source_ = nullptr;
  std::optional<set_document> set_document_;
  std::map<std::string, customer_contract> customers_;
  std::vector<contract_document> sources_;
};

set_validation::set_validation(std::span<const contract_document> documents) {
  IndexDocuments(documents);
  if (!faults.empty()) return;
  set_source_ = FindSetDocument();
  if (set_source_ == nullptr) return;
  fault_list list(set_source_->key);
  set_document_ = ParseSet(set_source_->bytes,
                           ParseDocumentKey(set_source_->key).revision, list);
  AddFaults(list);
  if (!set_document_) return;
  sources_.push_back(*set_source_);
  CheckHead();
  CollectMissing();
  for (const customer_entry& entry : set_document_->customers) {
    ReadContract(entry);
  }
  if (faults.empty()) CheckFloors();
  if (faults.empty()) BuildSet();
}

void set_validation::IndexDocuments(
    std::span<const contract_document> documents) {
  for (const contract_document& document : documents) {
    auto [position, inserted] = documents_.emplace(document.key, &document);
    if (inserted || position->second->bytes == document.bytes) continue;
    AddFault(contract_fault::contradiction, document.key, 1,
             "the document was given twice with different bytes; published "
             "documents never change, use a new revision");
  }
  // The text depends only on the key, so sorting by it makes the result
  // independent of the order of the documents.
  std::sort(faults.begin(), faults.end(),
            [](const document_fault& a, const document_fault& b) {
              return a.text < b.text;
            });
}

const contract_document* set_validation::FindSetDocument() {
  std::vector<const contract_document*> sets;
  for (const auto& [key, document] : documents_) {
    if (ParseDocumentKey(key).kind == document_kind::set) {
      sets.push_back(document);
    }
  }
  if (sets.empty()) {
    AddFault(contract_fault::missing_document, std::string(kSetPrefix), 1,
             "there is no set document; publish one for the revision in " +
                 std::string(kHeadKey));
    return nullptr;
  }
  if (sets.size() > 1) {
    AddFault(contract_fault::contradiction, sets[1]->key, 1,
             "there is a second set document beside " + sets[0]->key +
                 "; validate one revision at a time");
    return nullptr;
  }
  return sets.front();
}

void set_validation::CheckHead() {
  auto position = documents_.find(std::string(kHeadKey));
  if (position == documents_.end()) return;
  fault_list list{std::string(kHeadKey)};
  std::optional<head_document> head = ParseHead(position->second->bytes, list);
  AddFaults(list);
  if (!head || head->revision == set_document_->revision) return;
  AddFault(contract_fault::revision_mismatch, std::string(kHeadKey), 1,
           "'revision' is " + std::to_string(Raw(head->revision)) + " but " +
               set_source_->key + " was given; make them agree");
}

void set_validation::CollectMissing() {
  for (const customer_entry& entry : set_document_->customers) {
    std::string key = ContractKey(entry.name, entry.revision);
    if (documents_.contains(key)) continue;
    AddFault(contract_fault::missing_document, set_source_->key, entry.line,
             key + " is missing; publish it before the set");
    missing_keys.push_back(std::move(key));
  }
}

void set_validation::ReadContract(const customer_entry& entry) {
  std::string key = ContractKey(entry.name, entry.revision);
  auto position = documents_.find(key);
  if (position == documents_.end()) return;
  const contract_document& document = *position->second;
  fault_list list(key);
  std::optional<customer_contract> contract =
      ParseContract(document.bytes, ParseDocumentKey(key), list);
  AddFaults(list);
  std::uint64_t digest = ComputeDigest(document.bytes);
  if (digest != entry.digest) {
    AddFault(
        contract_fault::digest_mismatch, set_source_->key, entry.digest_line,
        "'digest' is " + FormatDigest(entry.digest) + " but " + key + " has " +
            FormatDigest(digest) + "; run 'corianderctl assemble' again");
  }
  if (!contract) return;
  sources_.push_back(document);
  customers_.emplace(entry.name, *std::move(contract));
}

void set_validation::CheckFloors() {
  // An owner serves all customers from one queue per rank and applies the
  // largest floor of each rank, so the sum of these floors must be at most 1.
  per_rank<ppm> largest{};
  for (const auto& [name, contract] : customers_) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      largest[i] = std::max(largest[i], contract.floor[i]);
    }
  }
  auto sum = std::accumulate(largest.begin(), largest.end(), std::uint64_t{0});
  if (sum <= kWholePpm) return;
  AddFault(contract_fault::contradiction, set_source_->key, 1,
           "the largest floors of all customers sum to " + std::to_string(sum) +
               " parts per million; lower a floor until the sum is at most " +
               std::to_string(kWholePpm));
}

void set_validation::BuildSet() {
  auto built = std::make_shared<contract_set>();
  built->revision = set_document_->revision;
  built->digest = ComputeDigest(sources_);
  built->seats = set_document_->seats;
  built->customers = std::move(customers_);
  built->documents = std::move(sources_);
  set = std::move(built);
}

void set_validation::AddFaults(const fault_list& list) {
  for (document_fault& fault : list.Sorted()) {
    faults.push_back(std::move(fault));
  }
}

void set_validation::AddFault(contract_fault fault, const std::string& source,
                              std::uint32_t line, const std::string& what) {
  faults.push_back(
      {fault, line, source + ":" + std::to_string(line) + ": " + what});
}

}  // namespace

contract_verdict ValidateContracts(
    std::span<const contract_document> documents) {
  set_validation validation(documents);
  contract_verdict verdict;
  verdict.set = std::move(validation.set);
  verdict.missing_keys = std::move(validation.missing_keys);
  if (validation.faults.empty()) return verdict;
  const document_fault& first = validation.faults.front();
  verdict.fault = first.fault;
  verdict.reason = first.text;
  return verdict;
}

head_verdict ValidateHead(const std::string& bytes) {
  fault_list faults{std::string(kHeadKey)};
  head_verdict verdict;
  std::optional<head_document> head = ParseHead(bytes, faults);
  if (head) {
    verdict.revision = head->revision;
    return verdict;
  }
  document_fault first = faults.Sorted().front();
  verdict.fault = first.fault;
  verdict.reason = std::move(first.text);
  return verdict;
}

std::vector<document_fault> FindContractFaults(
    std::span<const contract_document> documents) {
  return set_validation(documents).faults;
}

}  // namespace corianderrail
