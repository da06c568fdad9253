/** @file deployment.h Simulated deployments for benchmarks and tests. */

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/contract_type.h"
#include "core/index_type.h"
#include "driver/fake_leaf.h"
#include "driver/fleet_type.h"
#include "driver/virtual_fleet.h"

namespace corianderrail::driver {

/** Number of keys per partition when the key space is split evenly. */
inline constexpr std::uint64_t kPartitionWidth = 1'000'000;

/** Size and capacity of a collection. */
struct collection_plan {
  std::string name;             ///< Name of the collection.
  std::uint32_t services = 1;   ///< Number of services, one partition each.
  std::uint32_t replicas = 1;   ///< Leafs per service.
  std::uint32_t slots = 2;      ///< Concurrent requests per leaf.
  std::uint32_t connections{};  ///< Connections per leaf, from all hosts.
  duration connect{};           ///< Time to open a connection.
};

/** Sizes and delays of a deployment. */
struct deployment_plan {
  std::string name;               ///< Name on the command line and in reports.
  delay_settings delays;          ///< One-way delays.
  std::vector<host_place> hosts;  ///< Hosts of the tier.
  std::vector<host_place> sites;  ///< Zones that the services are spread over.
  std::vector<collection_plan> collections;  ///< Sizes of the collections.
};

/** The deployments of section 1.4 of the design. */
deployment_plan Peachline();
deployment_plan Heizventil();

/** One collection of `services` services with one replica each; used to measure
 *  the cost per leaf request. */
deployment_plan Linear(std::uint32_t services, std::uint32_t hosts);

/** Small deployment for tests: 4 services of 3 replicas and 2 of 2 leafs. */
deployment_plan SmallPlan();

/** Share of capacity that the contracts guarantee to each rank. */
inline constexpr per_rank<ppm> kFloors = {300'000, 150'000, 50'000};

/** Deadline of the benchmark's queries. */
inline constexpr duration kDeadline = std::chrono::milliseconds(500);

/** Name of the customer whose work has this rank. */
std::string CustomerOf(rank r);

/** Name of the kind of work that queries a collection. */
std::string QueryKind(const std::string& collection);

/** Name of the kind of work that orders in a collection. */
std::string OrderKind(const std::string& collection);

/** Contract sets and topologies, with the documents that publish them. */
class document_store {
 public:
  explicit document_store(deployment_plan plan);

  const deployment_plan& Plan() const { return plan_; }

  /** Newest topology. */
  std::shared_ptr<const topology> Topology() const { return newest_; }
  std::shared_ptr<const contract_set> Contracts() const { return contracts_; }

  /** Replaces the contract set; call it before the first host starts. */
  void SetContracts(std::shared_ptr<const contract_set> set) {
    contracts_ = std::move(set);
  }

  /** Topology whose document has these bytes; null when there is none. */
  std::shared_ptr<const topology> Find(const std::string& bytes) const;

  /**
   * Adds a snapshot to all collections. Its partition boundaries and the
   * services of its partitions differ from those of the previous snapshot.
   */
  void AddSnapshot();

  /** Removes the oldest snapshot. */
  void RemoveSnapshot();

  /** Bytes of the newest topology document. */
  std::string TopologyBytes() const;

  /** Snapshots in the newest topology, oldest first. */
  const std::vector<std::uint64_t>& Snapshots() const { return snapshots_; }

  /** Adds all leafs to the fleet, loads the current snapshots into them and
   *  publishes the documents. */
  void Install(virtual_fleet& fleet, const fake_leaf_settings& leaf,
               std::uint64_t seed) const;

  /** Loads a service's part of a snapshot into its leafs. */
  void Load(virtual_fleet& fleet, const service_info& service,
            std::uint64_t snapshot) const;

  /** Publishes the contract documents and the newest topology. */
  void Publish(virtual_fleet& fleet) const;

 private:
  void Rebuild();
  void BuildServices();
  void BuildContracts();
  partition_map Map(collection_id collection, std::uint64_t snapshot) const;

  deployment_plan plan_;
  std::vector<service_info> services_;
  std::vector<std::uint64_t> snapshots_ = {1};
  std::uint64_t version_ = 0;
  std::shared_ptr<const topology> newest_;
  std::shared_ptr<const contract_set> contracts_;
  std::map<std::string, std::shared_ptr<const topology>> by_bytes_;
};

/** Requests per second that the leafs of a collection can serve. */
double Capacity(const collection_plan& plan, const fake_leaf_settings& leaf);

}  // namespace corianderrail::driver
