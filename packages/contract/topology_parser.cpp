/** @file topology_parser.cpp Parses topology documents. */

#include "contract/topology_parser.h"

#include <algorithm>
#include <map>
#include <set>

#include "contract/toml_reader.h"
#include "core/host_address.h"

namespace corianderrail {

namespace {

/** Default slots and connections of a leaf, set by collection or service. */
struct leaf_limits {
  std::uint32_t slots = 0;        ///< 0 when not given.
  std::uint32_t connections = 0;  ///< 0 when not given.
};

/** Builds a topology from its document. */
class topology_builder {
 public:
  explicit topology_builder(fault_list& faults) : faults_(&faults) {}

  /** @return Null when the fault list has entries. */
  std::shared_ptr<const topology> Build(const toml::table& document);

 private:
  void ReadCollections(toml_reader& reader);
  void ReadService(const toml::table& table);
  void ReadLeafs(toml_reader& reader, const leaf_limits& limits,
                 service_info& service);
  void ReadLeafString(const toml::node& node, const leaf_limits& limits,
                      service_info& service);
  void ReadLeaf(const toml::table& table, const leaf_limits& limits,
                service_info& service);
  void AddLeaf(leaf_info leaf, std::uint32_t line, service_info& service);
  leaf_limits ReadLimits(toml_reader& reader, const leaf_limits& fallback);
  void ReadMap(const toml::table& table);
  void ReadPartitions(toml_reader& reader, collection_id collection,
                      partition_map& map);
  partition ReadPartition(const toml::table& table, collection_id collection,
                          std::uint64_t expected_begin);
  void ReadReplicas(toml_reader& reader, const service_info& service,
                    partition& part);
  void SplitKeySpaceEvenly(toml_reader& reader, collection_id collection,
                           partition_map& map);
  void AddMap(toml_reader& reader, collection_id collection, partition_map map);
  std::optional<collection_id> FindCollection(toml_reader& reader);
  void CheckCollections(toml_reader& reader);

  fault_list* faults_;
  topology topology_;
  std::uint64_t key_space_ = 0;
  std::vector<leaf_limits> default_limits_;  ///< Indexed by collection_id.
  std::map<std::string, collection_id> collections_;
  std::map<std::string, service_id> services_;
  std::map<collection_id, std::vector<service_id>> services_by_collection_;
  std::set<leaf_id> leaf_ids_;  ///< Finds leafs that are listed twice.
};

std::shared_ptr<const topology> topology_builder::Build(
    const toml::table& document) {
  toml_reader reader(document, *faults_);
  if (!reader.ReadFormat(kTopologyFormat)) return nullptr;
  topology_.version = reader.Integer("version", 1, kMaxInteger);
  key_space_ = reader.Integer("key_space", 1, kMaxInteger);
  ReadCollections(reader);
  for (const toml::table* table : reader.Tables("service", kMaxServices)) {
    ReadService(*table);
  }
  std::size_t most_maps = kMaxCollections * kMaxMapsPerCollection;
  for (const toml::table* table : reader.Tables("map", most_maps)) {
    ReadMap(*table);
  }
  reader.Finish();
  if (faults_->Empty()) CheckCollections(reader);
  if (!faults_->Empty()) return nullptr;
  return std::make_shared<const topology>(std::move(topology_));
}

void topology_builder::ReadCollections(toml_reader& reader) {
  for (const toml::table* table :
       reader.Tables("collection", kMaxCollections)) {
    toml_reader entry(*table, *faults_);
    collection_info collection;
    collection.name = entry.Name("name");
    auto id = static_cast<collection_id>(topology_.collections.size());
    if (!collection.name.empty() &&
        !collections_.emplace(collection.name, id).second) {
      entry.AddFault(contract_fault::contradiction, "name",
                     "collection " + Quoted(collection.name) +
                         " is listed twice; remove or rename one");
    }
    default_limits_.push_back(ReadLimits(entry, {}));
    entry.Finish();
    topology_.collections.push_back(std::move(collection));
  }
}

leaf_limits topology_builder::ReadLimits(toml_reader& reader,
                                         const leaf_limits& fallback) {
  leaf_limits limits;
  limits.slots = static_cast<std::uint32_t>(reader.Integer(
      "slots", 1, kMaxSlots, presence::optional, fallback.slots));
  limits.connections = static_cast<std::uint32_t>(
      reader.Integer("connections", 1, kMaxConnections, presence::optional,
                     fallback.connections));
  return limits;
}

std::optional<collection_id> topology_builder::FindCollection(
    toml_reader& reader) {
  std::string name = reader.Name("collection");
  if (name.empty()) return std::nullopt;
  auto position = collections_.find(name);
  if (position != collections_.end()) return position->second;
  reader.AddFault(contract_fault::contradiction, "collection",
                  "there is no collection " + Quoted(name) +
                      "; add a [[collection]] with this name");
  return std::nullopt;
}

void topology_builder::ReadService(const toml::table& table) {
  toml_reader reader(table, *faults_);
  service_info service;
  service.name = reader.Name("name");
  std::optional<collection_id> collection = FindCollection(reader);
  leaf_limits limits = ReadLimits(
      reader, collection ? default_limits_[Raw(*collection)] : leaf_limits{});
  ReadLeafs(reader, limits, service);
  reader.Finish();
  if (!service.leafs.empty()) service.zone = service.leafs.front().zone;
  auto id = static_cast<service_id>(topology_.services.size());
  if (!service.name.empty() && !services_.emplace(service.name, id).second) {
    reader.AddFault(contract_fault::contradiction, "name",
                    "service " + Quoted(service.name) +
                        " is listed twice; remove or rename one");
  }
  if (collection) {
    service.collection = *collection;
    services_by_collection_[*collection].push_back(id);
  }
  topology_.services.push_back(std::move(service));
}

void topology_builder::ReadLeafs(toml_reader& reader, const leaf_limits& limits,
                                 service_info& service) {
  for (const toml::node* node :
       reader.Strings("leafs", kMaxLeafsPerService, presence::optional)) {
    ReadLeafString(*node, limits, service);
  }
  for (const toml::table* table :
       reader.Tables("leaf", kMaxLeafsPerService, presence::optional)) {
    ReadLeaf(*table, limits, service);
  }
  if (service.leafs.size() > kMaxLeafsPerService) {
    reader.AddFault(contract_fault::too_large, "leafs",
                    "the service has " + std::to_string(service.leafs.size()) +
                        " leafs; the limit is " +
                        std::to_string(kMaxLeafsPerService));
  }
  if (service.leafs.empty() && faults_->Empty()) {
    reader.AddFault(contract_fault::missing_key, "leafs",
                    "the service has no leafs; list them in 'leafs' or as "
                    "[[service.leaf]]");
  }
}

void topology_builder::ReadLeafString(const toml::node& node,
                                      const leaf_limits& limits,
                                      service_info& service) {
  const std::string& text = node.as_string()->get();
  std::size_t space = std::min(text.find(' '), text.size());
  leaf_info leaf;
  leaf.address = text.substr(0, space);
  leaf.zone = space < text.size() ? text.substr(space + 1) : std::string();
  leaf.slots = limits.slots;
  leaf.connections = limits.connections;
  if (IsAddress(leaf.address) && IsName(leaf.zone)) {
    AddLeaf(std::move(leaf), LineOf(node), service);
    return;
  }
  faults_->Add(contract_fault::out_of_range, LineOf(node),
               "leaf " + Quoted(text) +
                   " is not an address and a zone; write them such as "
                   "'10.0.0.1:21000 zone-a'");
}

void topology_builder::ReadLeaf(const toml::table& table,
                                const leaf_limits& limits,
                                service_info& service) {
  toml_reader reader(table, *faults_);
  leaf_info leaf;
  leaf.address = reader.Address("address");
  leaf.zone = reader.Name("zone");
  leaf_limits own_limits = ReadLimits(reader, limits);
  leaf.slots = own_limits.slots;
  leaf.connections = own_limits.connections;
  leaf.leaving = reader.Bool("leaving");
  reader.Finish();
  AddLeaf(std::move(leaf), LineOf(table), service);
}

void topology_builder::AddLeaf(leaf_info leaf, std::uint32_t line,
                               service_info& service) {
  if (leaf.slots == 0 || leaf.connections == 0) {
    faults_->Add(contract_fault::missing_key, line,
                 "the leaf has no 'slots' or no 'connections'; set both on "
                 "the leaf, its service or its collection");
  } else if (leaf.connections < leaf.slots) {
    faults_->Add(contract_fault::contradiction, line,
                 "the leaf has fewer 'connections' than 'slots'; raise "
                 "'connections' or lower 'slots'");
  }
  leaf.id = LeafIdOf(leaf.address);
  if (!leaf.address.empty() && !leaf_ids_.insert(leaf.id).second) {
    faults_->Add(contract_fault::contradiction, line,
                 "leaf " + Quoted(leaf.address) +
                     " is listed twice or its identifier collides with "
                     "another leaf's; remove it or change its port");
  }
  service.leafs.push_back(std::move(leaf));
}

void topology_builder::ReadMap(const toml::table& table) {
  toml_reader reader(table, *faults_);
  std::optional<collection_id> collection = FindCollection(reader);
  partition_map map;
  map.snapshot = snapshot_id{reader.Integer("snapshot", 1, kMaxInteger)};
  if (collection && topology_.collections[Raw(*collection)].maps.size() >=
                        kMaxMapsPerCollection) {
    // Rejected before the partitions are built: a map without partitions of
    // its own gets one per service, so a small document with many maps could
    // otherwise create millions of them.
    reader.AddFault(contract_fault::too_large, "collection",
                    "the collection has more than " +
                        std::to_string(kMaxMapsPerCollection) +
                        " maps; remove the oldest");
    return;
  }
  if (collection && key_space_ > 0) {
    if (reader.Has("partition")) {
      ReadPartitions(reader, *collection, map);
    } else {
      SplitKeySpaceEvenly(reader, *collection, map);
    }
  }
  reader.Finish();
  if (collection) AddMap(reader, *collection, std::move(map));
}

void topology_builder::ReadPartitions(toml_reader& reader,
                                      collection_id collection,
                                      partition_map& map) {
  std::uint64_t expected = 0;
  for (const toml::table* table :
       reader.Tables("partition", kMaxPartitionsPerMap)) {
    partition part = ReadPartition(*table, collection, expected);
    expected = part.range.end;
    map.partitions.push_back(std::move(part));
  }
  if (expected != key_space_ && faults_->Empty()) {
    reader.AddFault(contract_fault::contradiction, "partition",
                    "the partitions end at " + std::to_string(expected) +
                        " but 'key_space' is " + std::to_string(key_space_) +
                        "; the last partition must end there");
  }
}

partition topology_builder::ReadPartition(const toml::table& table,
                                          collection_id collection,
                                          std::uint64_t expected_begin) {
  toml_reader reader(table, *faults_);
  partition part;
  part.range.begin = reader.Integer("begin", 0, kMaxInteger);
  part.range.end = reader.Integer("end", 1, kMaxInteger);
  std::string name = reader.Name("service");
  auto position = services_.find(name);
  if (position != services_.end() &&
      topology_.services[Raw(position->second)].collection == collection) {
    part.service = position->second;
    ReadReplicas(reader, topology_.services[Raw(part.service)], part);
  } else if (!name.empty()) {
    reader.Strings("replicas", kMaxLeafsPerService, presence::optional);
    reader.AddFault(contract_fault::contradiction, "service",
                    "the collection has no service " + Quoted(name) +
                        "; name one of its [[service]] entries");
  }
  reader.Finish();
  if (!faults_->Empty()) return part;
  if (part.range.begin != expected_begin) {
    reader.AddFault(contract_fault::contradiction, "begin",
                    "the partition begins at " +
                        std::to_string(part.range.begin) + "; begin at " +
                        std::to_string(expected_begin) +
                        " so that there is no gap and no overlap");
  } else if (part.range.end <= part.range.begin) {
    reader.AddFault(contract_fault::contradiction, "end",
                    "the partition is empty; raise 'end' above 'begin'");
  }
  return part;
}

void topology_builder::ReadReplicas(toml_reader& reader,
                                    const service_info& service,
                                    partition& part) {
  std::vector<const toml::node*> listed =
      reader.Strings("replicas", kMaxLeafsPerService, presence::optional);
  for (const toml::node* node : listed) {
    const std::string& address = node->as_string()->get();
    auto leaf = std::find_if(
        service.leafs.begin(), service.leafs.end(),
        [&address](const leaf_info& l) { return l.address == address; });
    if (leaf == service.leafs.end()) {
      faults_->Add(contract_fault::contradiction, LineOf(*node),
                   "service " + Quoted(service.name) + " has no leaf " +
                       Quoted(address) + "; name one of its leafs");
      continue;
    }
    if (std::find(part.replicas.begin(), part.replicas.end(), leaf->id) !=
        part.replicas.end()) {
      faults_->Add(
          contract_fault::contradiction, LineOf(*node),
          "replica " + Quoted(address) + " is listed twice; remove one");
    }
    part.replicas.push_back(leaf->id);
  }
  if (!listed.empty()) return;
  if (reader.Has("replicas")) {
    reader.AddFault(
        contract_fault::out_of_range, "replicas",
        "'replicas' is empty; name a leaf, or remove the key to use "
        "all leafs of the service");
  }
  for (const leaf_info& leaf : service.leafs) part.replicas.push_back(leaf.id);
}

void topology_builder::SplitKeySpaceEvenly(toml_reader& reader,
                                           collection_id collection,
                                           partition_map& map) {
  const std::vector<service_id>& services = services_by_collection_[collection];
  if (services.empty() || services.size() > key_space_) {
    reader.AddFault(contract_fault::contradiction, "collection",
                    "the key space cannot be spread over " +
                        std::to_string(services.size()) +
                        " services; give the collection services, at most one "
                        "for each key");
    return;
  }
  // The first `remainder` services get one more key. Computing each bound as
  // key_space * i / n instead could overflow.
  std::uint64_t width = key_space_ / services.size();
  std::uint64_t remainder = key_space_ % services.size();
  std::uint64_t begin = 0;
  for (std::size_t i = 0; i < services.size(); ++i) {
    partition part;
    part.range = {begin, begin + width + (i < remainder ? 1 : 0)};
    part.service = services[i];
    for (const leaf_info& leaf : topology_.services[Raw(services[i])].leafs) {
      part.replicas.push_back(leaf.id);
    }
    begin = part.range.end;
    map.partitions.push_back(std::move(part));
  }
}

void topology_builder::AddMap(toml_reader& reader, collection_id collection,
                              partition_map map) {
  auto& maps = topology_.collections[Raw(collection)].maps;
  auto position = std::lower_bound(
      maps.begin(), maps.end(), map.snapshot,
      [](const partition_map& a, snapshot_id b) { return a.snapshot < b; });
  if (position != maps.end() && position->snapshot == map.snapshot) {
    reader.AddFault(contract_fault::contradiction, "snapshot",
                    "the collection has two maps of snapshot " +
                        std::to_string(Raw(map.snapshot)) + "; remove one");
    return;
  }
  maps.insert(position, std::move(map));
}

void topology_builder::CheckCollections(toml_reader& reader) {
  for (const collection_info& collection : topology_.collections) {
    if (!collection.maps.empty()) continue;
    reader.AddFault(contract_fault::missing_key, "collection",
                    "collection " + Quoted(collection.name) +
                        " has no map; add a [[map]] for it");
  }
}

std::shared_ptr<const topology> Parse(const std::string& bytes,
                                      fault_list& faults) {
  std::optional<toml::table> document = ParseToml(bytes, faults);
  if (!document) return nullptr;
  return topology_builder(faults).Build(*document);
}

}  // namespace

topology_verdict ParseTopology(const std::string& bytes) {
  fault_list faults{std::string(kTopologyKey)};
  topology_verdict verdict;
  verdict.value = Parse(bytes, faults);
  std::vector<document_fault> sorted = faults.Sorted();
  if (sorted.empty()) return verdict;
  verdict.fault = sorted.front().fault;
  verdict.reason = sorted.front().text;
  return verdict;
}

std::vector<document_fault> FindTopologyFaults(const std::string& bytes,
                                               const std::string& source) {
  fault_list faults{source};
  Parse(bytes, faults);
  return faults.Sorted();
}

}  // namespace corianderrail
