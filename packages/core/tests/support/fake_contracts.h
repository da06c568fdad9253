/** @file fake_contracts.h Simple documents and a fake configuration service. */

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "core/contract_sync.h"
#include "core/contract_type.h"
#include "core/event_type.h"
#include "core/stable_hash.h"

namespace corianderrail {

/**
 * Validates documents in a minimal text format. A set document is
 * `<revision> <seat>... ; <customer>/<revision>...`. A contract is
 * `<rate> <burst>`, `bad` (out of range) or `format 2` (newer format).
 */
inline contract_verdict FakeValidate(
    std::span<const contract_document> documents) {
  contract_verdict verdict;
  const auto refuse = [&](contract_fault fault, std::string reason) {
    verdict.fault = fault;
    verdict.reason = std::move(reason);
    return verdict;
  };
  if (documents.empty()) return refuse(contract_fault::syntax, "no documents");
  std::istringstream text(documents[0].bytes);
  std::uint64_t revision = 0;
  if (!(text >> revision)) return refuse(contract_fault::syntax, "set: syntax");
  auto set = std::make_shared<contract_set>();
  set->revision = revision_id{revision};
  set->documents.push_back(documents[0]);
  set->digest = HashBytes(documents[0].bytes);
  std::string word;
  while (text >> word && word != ";") set->seats.push_back(word);
  while (text >> word) {
    const std::string key = "contracts/" + word;
    const contract_document* found = nullptr;
    for (const auto& one : documents) {
      if (one.key == key) found = &one;
    }
    if (found == nullptr) {
      verdict.missing_keys.push_back(key);
      continue;
    }
    set->documents.push_back(*found);
    set->digest = HashBytes(found->bytes, MixHash(set->digest));
    if (found->bytes == "bad") {
      return refuse(contract_fault::out_of_range, key + ": out of range");
    }
    if (found->bytes == "format 2") {
      return refuse(contract_fault::newer_format, key + ": format 2");
    }
    std::istringstream contract(found->bytes);
    work_contract work;
    work.kind = "k";
    contract >> work.rate_per_s >> work.burst;
    customer_contract& customer =
        set->customers[word.substr(0, word.find('/'))];
    customer.work.push_back(work);
  }
  if (!verdict.missing_keys.empty()) {
    return refuse(contract_fault::missing_document, "missing document");
  }
  verdict.set = std::move(set);
  return verdict;
}

/** Parses a topology of the form `<version>`. */
inline topology_verdict FakeTopology(const std::string& bytes) {
  topology_verdict verdict;
  auto value = std::make_shared<topology>();
  std::istringstream text(bytes);
  if (text >> value->version) {
    verdict.value = std::move(value);
  } else {
    verdict.fault = contract_fault::syntax;
    verdict.reason = "topology: syntax";
  }
  return verdict;
}

/** Parses a head of the form `<revision>`. */
inline head_verdict FakeHead(const std::string& bytes) {
  head_verdict verdict;
  std::istringstream text(bytes);
  std::uint64_t revision = 0;
  if (text >> revision) {
    verdict.revision = revision_id{revision};
  } else {
    verdict.fault = bytes == "format 2" ? contract_fault::newer_format
                                        : contract_fault::syntax;
    verdict.reason = "head: " + bytes;
  }
  return verdict;
}

/** Fake of the configuration service and the host list. */
struct fake_service {
  bool up = true;             ///< False: unreachable.
  std::uint64_t calls = 0;    ///< Calls received.
  std::uint64_t version = 0;  ///< Version of the newest value.
  std::map<std::string, std::pair<std::uint64_t, std::string>> values;
  std::vector<host_list_entry> hosts;  ///< The host list.

  void Put(const std::string& key, const std::string& bytes) {
    values[key] = {++version, bytes};
  }

  /** Publishes the contracts, then their set, then the head. */
  void Publish(std::uint64_t revision, const std::vector<std::string>& seats,
               const std::map<std::string, std::string>& contracts) {
    std::string set = std::to_string(revision);
    for (const std::string& seat : seats) set += " " + seat;
    set += " ;";
    for (const auto& [name, bytes] : contracts) {
      set += " " + name;
      Put("contracts/" + name, bytes);
    }
    Put("contracts/set/" + std::to_string(revision), set);
    Put("contracts/head", std::to_string(revision));
  }

  config_value_event Read(const std::string& key) const {
    config_value_event value;
    value.key = key;
    value.reachable = up;
    const auto found = values.find(key);
    if (!up || found == values.end()) return value;
    value.found = true;
    value.version = found->second.first;
    value.bytes = found->second.second;
    return value;
  }
};

}  // namespace corianderrail
