/** @file tier_host.cpp Runs the production reducer in the simulated fleet. */

#include "driver/tier_host.h"

#include <algorithm>
#include <utility>

#include "core/host_address.h"

namespace corianderrail::driver {

namespace {

contract_verdict Validate(const document_store& store,
                          std::span<const contract_document> documents) {
  contract_verdict verdict;
  const auto set = store.Contracts();
  for (const contract_document& document : set->documents) {
    if (std::find(documents.begin(), documents.end(), document) ==
        documents.end()) {
      verdict.missing_keys.push_back(document.key);
    }
  }
  if (verdict.missing_keys.empty()) {
    verdict.set = set;
  } else {
    verdict.fault = contract_fault::missing_document;
    verdict.reason = "documents are missing";
  }
  return verdict;
}

}  // namespace

host_settings TierSettings(const document_store& store, std::size_t index,
                           incarnation_id incarnation, time_point now,
                           std::uint64_t seed) {
  const host_place& place = store.Plan().hosts[index];
  host_settings settings;
  settings.self.ref = {HostIdOf(place.address), incarnation};
  settings.self.peer_address = place.address;
  settings.self.caller_address = place.address;
  settings.self.zone = place.zone;
  settings.self.region = place.region;
  settings.self.capacity = 1;
  settings.seed = seed + 1000 * index + Raw(incarnation);
  settings.started = now;
  for (const host_place& other : store.Plan().hosts) {
    settings.member.seeds.push_back(other.address);
  }
  settings.contracts = [&store](std::span<const contract_document> documents) {
    return Validate(store, documents);
  };
  settings.topologies = [&store](const std::string& bytes) {
    topology_verdict verdict;
    verdict.value = store.Find(bytes);
    if (verdict.value == nullptr) {
      verdict.fault = contract_fault::syntax;
      verdict.reason = "unknown topology bytes";
    }
    return verdict;
  };
  settings.heads = [](const std::string& bytes) {
    head_verdict verdict;
    verdict.revision = revision_id{std::stoull(bytes)};
    return verdict;
  };
  return settings;
}

host_factory TierFactory(const document_store& store, std::uint64_t seed) {
  return [&store, seed](std::size_t index, incarnation_id incarnation,
                        time_point now) -> std::unique_ptr<fleet_host> {
    return std::make_unique<tier_host>(
        TierSettings(store, index, incarnation, now, seed));
  };
}

}  // namespace corianderrail::driver
