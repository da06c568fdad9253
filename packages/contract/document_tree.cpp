/** @file document_tree.cpp Validation of a complete tree of documents. */

#include "contract/document_tree.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "contract/contract_validate.h"
#include "contract/digest.h"
#include "contract/topology_parser.h"

namespace corianderrail {

namespace {

const contract_document* FindDocument(
    std::span<const contract_document> documents, std::string_view key) {
  for (const contract_document& document : documents) {
    if (document.key == key) return &document;
  }
  return nullptr;
}

/** Collects the faults of a tree. A contract that several sets list is checked
 *  with each of them, but each of its faults is reported once. */
class tree_check {
 public:
  explicit tree_check(std::span<const contract_document> documents)
      : documents_(documents.begin(), documents.end()) {
    std::sort(documents_.begin(), documents_.end(),
              [](const contract_document& a, const contract_document& b) {
                return a.key < b.key;
              });
  }

  std::vector<document_fault> Run();

 private:
  void CheckHead();
  void CheckSets();
  void CheckOtherDocuments();
  void CheckUnlistedContract(const contract_document& document);
  void CheckCollections();
  void AddFaults(std::vector<document_fault> found);
  void AddFault(contract_fault fault, const std::string& source,
                const std::string& what);

  std::vector<contract_document> documents_;  ///< Sorted by key.
  std::set<std::string> listed_contracts_;    ///< Keys that valid sets list.
  std::vector<document_fault> faults_;
  std::set<std::string> reported_texts_;  ///< Texts of faults_.
};

std::vector<document_fault> tree_check::Run() {
  CheckHead();
  CheckSets();
  CheckOtherDocuments();
  if (faults_.empty()) CheckCollections();
  return std::move(faults_);
}

void tree_check::CheckHead() {
  const contract_document* head = FindDocument(documents_, kHeadKey);
  if (head == nullptr) return;
  fault_list list(head->key);
  std::optional<head_document> parsed = ParseHead(head->bytes, list);
  AddFaults(list.Sorted());
  if (!parsed) return;
  std::string key = SetKey(parsed->revision);
  if (FindDocument(documents_, key) != nullptr) return;
  AddFault(contract_fault::missing_document, head->key,
           key + " is missing; publish it before the head");
}

void tree_check::CheckSets() {
  for (const contract_document& document : documents_) {
    document_key key = ParseDocumentKey(document.key);
    if (key.kind != document_kind::set) continue;
    AddFaults(FindContractFaults(DocumentsOfSet(documents_, key.revision)));
    fault_list ignored(document.key);
    std::optional<set_document> set =
        ParseSet(document.bytes, key.revision, ignored);
    if (!set) continue;
    for (const customer_entry& entry : set->customers) {
      listed_contracts_.insert(ContractKey(entry.name, entry.revision));
    }
  }
}

void tree_check::CheckOtherDocuments() {
  for (const contract_document& document : documents_) {
    switch (ParseDocumentKey(document.key).kind) {
      case document_kind::contract:
        CheckUnlistedContract(document);
        break;
      case document_kind::other:
        if (document.key == kTopologyKey) {
          AddFaults(FindTopologyFaults(document.bytes, document.key));
        } else {
          AddFault(contract_fault::unknown_key, document.key,
                   "no host reads this document; move or rename it");
        }
        break;
      case document_kind::head:
      case document_kind::set:
        break;
    }
  }
}

void tree_check::CheckUnlistedContract(const contract_document& document) {
  if (listed_contracts_.contains(document.key)) return;
  fault_list list(document.key);
  ParseContract(document.bytes, ParseDocumentKey(document.key), list);
  AddFaults(list.Sorted());
}

void tree_check::CheckCollections() {
  const contract_document* source = FindDocument(documents_, kTopologyKey);
  if (source == nullptr || FindDocument(documents_, kHeadKey) == nullptr) {
    return;
  }
  topology_verdict topology_result = ParseTopology(source->bytes);
  contract_verdict contract_result = ValidateTreeHead(documents_);
  if (topology_result.value == nullptr || contract_result.set == nullptr)
    return;
  std::set<std::string> collection_names;
  for (const collection_info& collection : topology_result.value->collections) {
    collection_names.insert(collection.name);
  }
  for (const auto& [customer, contract] : contract_result.set->customers) {
    for (const work_contract& work : contract.work) {
      if (collection_names.contains(work.collection)) continue;
      AddFault(contract_fault::contradiction,
               ContractKey(customer, contract.revision),
               "kind " + Quoted(work.kind) + " runs over collection " +
                   Quoted(work.collection) +
                   ", which the topology does not list; correct one of them");
    }
  }
}

void tree_check::AddFaults(std::vector<document_fault> found) {
  for (document_fault& fault : found) {
    if (reported_texts_.insert(fault.text).second)
      faults_.push_back(std::move(fault));
  }
}

void tree_check::AddFault(contract_fault fault, const std::string& source,
                          const std::string& what) {
  AddFaults({{fault, 1, source + ":1: " + what}});
}

/** Highest contract revision of each customer. */
std::map<std::string, revision_id> NewestContracts(
    std::span<const contract_document> documents) {
  std::map<std::string, revision_id> newest;
  for (const contract_document& document : documents) {
    document_key key = ParseDocumentKey(document.key);
    if (key.kind != document_kind::contract) continue;
    revision_id& revision = newest[key.customer];
    revision = std::max(revision, key.revision);
  }
  return newest;
}

/** Revision in the head; 0 when the head is missing or invalid. */
revision_id HeadRevision(std::span<const contract_document> documents) {
  const contract_document* head = FindDocument(documents, kHeadKey);
  return head == nullptr ? revision_id{} : ValidateHead(head->bytes).revision;
}

/** Lowest unused revision above the head's and not below any contract's. */
revision_id NextRevision(std::span<const contract_document> documents,
                         const std::map<std::string, revision_id>& contracts) {
  std::uint64_t next = Raw(HeadRevision(documents)) + 1;
  for (const auto& [customer, revision] : contracts) {
    next = std::max(next, Raw(revision));
  }
  while (FindDocument(documents, SetKey(revision_id{next})) != nullptr) ++next;
  return revision_id{next};
}

/** Seats of the set that the head names; empty when it is invalid. */
std::vector<std::string> HeadSeats(
    std::span<const contract_document> documents) {
  const contract_document* source =
      FindDocument(documents, SetKey(HeadRevision(documents)));
  if (source == nullptr) return {};
  fault_list ignored(source->key);
  std::optional<set_document> set =
      ParseSet(source->bytes, HeadRevision(documents), ignored);
  return set ? set->seats : std::vector<std::string>();
}

}  // namespace

std::vector<document_fault> FindTreeFaults(
    std::span<const contract_document> documents) {
  return tree_check(documents).Run();
}

contract_verdict ValidateTreeHead(
    std::span<const contract_document> documents) {
  const contract_document* head = FindDocument(documents, kHeadKey);
  contract_verdict rejected;
  if (head == nullptr) {
    rejected.fault = contract_fault::missing_document;
    rejected.reason = std::string(kHeadKey) +
                      ":1: the document is missing; publish it after its set";
    return rejected;
  }
  head_verdict verdict = ValidateHead(head->bytes);
  if (verdict.fault != contract_fault::none) {
    rejected.fault = verdict.fault;
    rejected.reason = std::move(verdict.reason);
    return rejected;
  }
  return ValidateContracts(DocumentsOfSet(documents, verdict.revision));
}

std::vector<contract_document> DocumentsOfSet(
    std::span<const contract_document> documents, revision_id revision) {
  std::vector<contract_document> selected;
  for (const contract_document& document : documents) {
    document_key key = ParseDocumentKey(document.key);
    bool wanted = key.kind == document_kind::contract ||
                  (key.kind == document_kind::set && key.revision == revision);
    if (wanted) selected.push_back(document);
  }
  return selected;
}

contract_document AssembleSet(std::span<const contract_document> documents,
                              std::span<const std::string> seats,
                              std::vector<document_fault>& faults) {
  std::map<std::string, revision_id> contracts = NewestContracts(documents);
  std::vector<std::string> addresses(seats.begin(), seats.end());
  if (addresses.empty()) addresses = HeadSeats(documents);
  revision_id revision = NextRevision(documents, contracts);
  contract_document set;
  set.key = SetKey(revision);
  set.bytes = "format = " + std::to_string(kContractFormat) +
              "\nrevision = " + std::to_string(Raw(revision)) + "\nseats = [\n";
  for (const std::string& seat : addresses)
    set.bytes += "  \"" + seat + "\",\n";
  set.bytes += "]\n";
  std::vector<contract_document> set_documents;
  for (const auto& [customer, newest] : contracts) {
    const contract_document* contract =
        FindDocument(documents, ContractKey(customer, newest));
    set.bytes += "\n[[customer]]\nname = \"" + customer +
                 "\"\nrevision = " + std::to_string(Raw(newest)) +
                 "\ndigest = \"" +
                 FormatDigest(ComputeDigest(contract->bytes)) + "\"\n";
    set_documents.push_back(*contract);
  }
  set_documents.push_back(set);
  faults = FindContractFaults(set_documents);
  if (!faults.empty()) return {};
  return set;
}

}  // namespace corianderrail
