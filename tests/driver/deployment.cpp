/** @file deployment.cpp Simulated deployments for benchmarks and tests. */

#include "driver/deployment.h"

#include <algorithm>
#include <utility>

#include "core/host_address.h"

namespace corianderrail::driver {

namespace {

/** Rate and burst that never limit a customer: the benchmark measures the load,
 *  not the limits of a contract. */
constexpr double kUnlimitedRate = 1e8;
constexpr std::uint32_t kUnlimitedBurst = 100'000'000;

using std::chrono::milliseconds;

/** Two zones in one region and one zone in another. */
std::vector<host_place> ThreeSites() {
  return {
      {"", "east-1", "east"}, {"", "east-2", "east"}, {"", "west-1", "west"}};
}

std::vector<host_place> HostsAt(const std::vector<host_place>& sites,
                                std::uint32_t count) {
  std::vector<host_place> hosts;
  for (std::uint32_t i = 0; i < count; ++i) {
    host_place place = sites[i % sites.size()];
    place.address = "10.0.0." + std::to_string(i + 1) + ":7000";
    hosts.push_back(std::move(place));
  }
  return hosts;
}

}  // namespace

deployment_plan Peachline() {
  deployment_plan plan;
  plan.name = "peachline";
  plan.delays = {duration(50), duration(500), milliseconds(12),
                 milliseconds(3)};
  plan.sites = ThreeSites();
  plan.hosts = HostsAt(plan.sites, 6);
  plan.collections = {
      {"counter-desk", 10, 3, 2, 25, milliseconds(6)},
      {"crew-portal", 15, 3, 2, 25, milliseconds(6)},
      {"ledger-view", 1, 16, 2, 100, milliseconds(1)},
      {"fleet-tracker", 1, 8, 2, 100, milliseconds(1)},
  };
  return plan;
}

deployment_plan Heizventil() {
  deployment_plan plan;
  plan.name = "heizventil";
  plan.delays = {duration(50), milliseconds(1), milliseconds(20),
                 milliseconds(1)};
  plan.sites = ThreeSites();
  plan.hosts = HostsAt(plan.sites, 6);
  plan.collections = {
      {"theke", 10, 3, 2, 25, milliseconds(6)},
      {"bestellung", 15, 3, 2, 25, milliseconds(6)},
      {"lager", 1, 4, 6, 50, milliseconds(1)},
      {"tourplan", 1, 3, 6, 50, milliseconds(1)},
  };
  return plan;
}

deployment_plan Linear(std::uint32_t services, std::uint32_t hosts) {
  deployment_plan plan;
  plan.name = "linear";
  plan.sites = {{"", "east-1", "east"}};
  plan.hosts = HostsAt(plan.sites, hosts);
  plan.collections = {{"all", services, 1, 2, 100, milliseconds(1)}};
  return plan;
}

deployment_plan SmallPlan() {
  deployment_plan plan;
  plan.name = "small";
  plan.delays = {duration(50), duration(500), milliseconds(2), milliseconds(1)};
  plan.sites = ThreeSites();
  plan.hosts = HostsAt(plan.sites, 4);
  plan.collections = {{"wide", 4, 3, 2, 25, milliseconds(6)},
                      {"flat", 2, 2, 2, 50, milliseconds(1)}};
  return plan;
}

std::string CustomerOf(rank r) {
  return "customer-" + std::string(RankName(r));
}

std::string QueryKind(const std::string& collection) {
  return collection + "-query";
}

std::string OrderKind(const std::string& collection) {
  return collection + "-order";
}

double Capacity(const collection_plan& plan, const fake_leaf_settings& leaf) {
  const double leafs = static_cast<double>(plan.services) * plan.replicas;
  return leafs * plan.slots * 1e6 / MeanServiceTime(leaf);
}

document_store::document_store(deployment_plan plan) : plan_(std::move(plan)) {
  BuildServices();
  BuildContracts();
  Rebuild();
}

void document_store::BuildServices() {
  for (std::size_t c = 0; c < plan_.collections.size(); ++c) {
    const collection_plan& from = plan_.collections[c];
    for (std::uint32_t s = 0; s < from.services; ++s) {
      service_info service;
      service.name = from.name + '-' + std::to_string(s);
      service.collection = collection_id{static_cast<std::uint32_t>(c)};
      service.zone = plan_.sites[(s + c) % plan_.sites.size()].zone;
      for (std::uint32_t r = 0; r < from.replicas; ++r) {
        leaf_info leaf;
        leaf.address = "10." + std::to_string(c + 1) + '.' + std::to_string(s) +
                       '.' + std::to_string(r + 1) + ":8000";
        leaf.id = LeafIdOf(leaf.address);
        leaf.zone = service.zone;
        leaf.slots = from.slots;
        leaf.connections = from.connections;
        service.leafs.push_back(std::move(leaf));
      }
      services_.push_back(std::move(service));
    }
  }
}

void document_store::BuildContracts() {
  auto set = std::make_shared<contract_set>();
  set->revision = revision_id{1};
  set->digest = 1;
  for (const host_place& host : plan_.hosts) set->seats.push_back(host.address);
  set->documents.push_back({"contracts/set/1", "set 1"});
  for (const rank r : kAllRanks) {
    customer_contract contract;
    contract.customer = CustomerOf(r);
    contract.revision = set->revision;
    contract.preference = answer_preference::coverage;
    contract.floor = kFloors;
    for (const collection_plan& collection : plan_.collections) {
      work_contract work;
      work.kind = QueryKind(collection.name);
      work.collection = collection.name;
      work.urgency = r;
      work.rate_per_s = kUnlimitedRate;
      work.burst = kUnlimitedBurst;
      work.latency_target = milliseconds(130);
      work.deadline_max = std::chrono::seconds(2);
      work.min_coverage = 900'000;
      contract.work.push_back(work);
      work.kind = OrderKind(collection.name);
      work.type = work_type::order;
      contract.work.push_back(work);
    }
    set->documents.push_back(
        {"contracts/" + contract.customer + "/1", contract.customer + " 1"});
    set->customers[contract.customer] = std::move(contract);
  }
  contracts_ = std::move(set);
}

partition_map document_store::Map(collection_id collection,
                                  std::uint64_t snapshot) const {
  std::vector<std::size_t> services;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].collection == collection) services.push_back(i);
  }
  const std::uint64_t count = services.size();
  // Inner boundaries differ by half a partition between odd and even snapshots,
  // so that consecutive snapshots never have the same partitions.
  const std::uint64_t shift = snapshot % 2 == 0 ? kPartitionWidth / 2 : 0;
  partition_map map;
  map.snapshot = snapshot_id{snapshot};
  for (std::uint64_t p = 0; p < count; ++p) {
    const std::size_t index = services[(p + snapshot) % count];
    partition part;
    part.range.begin = p == 0 ? 0 : p * kPartitionWidth + shift;
    part.range.end = p + 1 == count ? count * kPartitionWidth
                                    : (p + 1) * kPartitionWidth + shift;
    part.service = service_id{static_cast<std::uint32_t>(index)};
    for (const leaf_info& leaf : services_[index].leafs) {
      part.replicas.push_back(leaf.id);
    }
    map.partitions.push_back(std::move(part));
  }
  return map;
}

void document_store::Rebuild() {
  auto built = std::make_shared<topology>();
  built->version = ++version_;
  built->services = services_;
  for (std::size_t c = 0; c < plan_.collections.size(); ++c) {
    collection_info info;
    info.name = plan_.collections[c].name;
    for (const std::uint64_t snapshot : snapshots_) {
      info.maps.push_back(
          Map(collection_id{static_cast<std::uint32_t>(c)}, snapshot));
    }
    built->collections.push_back(std::move(info));
  }
  newest_ = std::move(built);
  by_bytes_[TopologyBytes()] = newest_;
}

std::string document_store::TopologyBytes() const {
  return "topology " + std::to_string(version_);
}

std::shared_ptr<const topology> document_store::Find(
    const std::string& bytes) const {
  const auto found = by_bytes_.find(bytes);
  return found == by_bytes_.end() ? nullptr : found->second;
}

void document_store::AddSnapshot() {
  snapshots_.push_back(snapshots_.back() + 1);
  Rebuild();
}

void document_store::RemoveSnapshot() {
  snapshots_.erase(snapshots_.begin());
  Rebuild();
}

void document_store::Load(virtual_fleet& fleet, const service_info& service,
                          std::uint64_t snapshot) const {
  const partition_map map = Map(service.collection, snapshot);
  for (const partition& part : map.partitions) {
    if (services_[Raw(part.service)].name != service.name) continue;
    for (const leaf_info& leaf : service.leafs) {
      fleet.leafs.Leaf(leaf.id).Hold(map.snapshot, part.range);
    }
  }
}

void document_store::Install(virtual_fleet& fleet,
                             const fake_leaf_settings& leaf,
                             std::uint64_t seed) const {
  for (const service_info& service : services_) {
    const collection_plan& plan = plan_.collections[Raw(service.collection)];
    const auto site = std::find_if(
        plan_.sites.begin(), plan_.sites.end(),
        [&](const host_place& place) { return place.zone == service.zone; });
    for (const leaf_info& info : service.leafs) {
      fake_leaf_settings settings = leaf;
      settings.slots = plan.slots;
      settings.connections = plan.connections;
      settings.seed = seed + Raw(info.id);
      fleet.leafs.Add(info, site->region, plan.connect, settings);
    }
    for (const std::uint64_t snapshot : snapshots_) {
      Load(fleet, service, snapshot);
    }
  }
  Publish(fleet);
}

void document_store::Publish(virtual_fleet& fleet) const {
  for (const contract_document& document : contracts_->documents) {
    fleet.platform.Publish(document.key, document.bytes);
  }
  fleet.platform.Publish("contracts/head", "1");
  fleet.platform.Publish("topology", TopologyBytes());
}

}  // namespace corianderrail::driver
