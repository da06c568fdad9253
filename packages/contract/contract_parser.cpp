/** @file contract_parser.cpp Parses contract documents. */

#include "contract/contract_parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <set>

#include "contract/digest.h"
#include "contract/toml_reader.h"

namespace corianderrail {

namespace {

constexpr std::array<std::string_view, 2> kPreferences = {"latency",
                                                          "coverage"};
constexpr std::array<std::string_view, 2> kWorkTypes = {"query", "order"};
constexpr double kMicrosecondsPerMs = 1'000;

/** A customer of this name would share the key prefix of the set documents. */
constexpr std::string_view kReservedCustomerName = "set";

std::optional<revision_id> ParseRevision(std::string_view text) {
  if (text.empty() || text.front() == '0') return std::nullopt;
  std::uint64_t value = 0;
  auto end = std::from_chars(text.data(), text.data() + text.size(), value);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  if (value > kMaxInteger) return std::nullopt;
  return revision_id{value};
}

ppm FractionToPpm(double fraction) {
  return static_cast<ppm>(std::llround(fraction * kWholePpm));
}

duration MillisecondsToDuration(double ms) {
  return duration(std::llround(ms * kMicrosecondsPerMs));
}

std::string FormatPpm(std::uint64_t value) {
  std::string digits = std::to_string(value % kWholePpm);
  digits.insert(0, 6 - digits.size(), '0');
  return std::to_string(value / kWholePpm) + "." + digits;
}

void ReadSeats(toml_reader& reader, set_document& set, fault_list& faults) {
  std::set<std::string> seen;
  for (const toml::node* node : reader.Strings("seats", kMaxSeats)) {
    std::string seat = node->as_string()->get();
    if (!IsAddress(seat)) {
      faults.Add(contract_fault::out_of_range, LineOf(*node),
                 "seat " + Quoted(seat) +
                     " is not an address; write an IP number and port such "
                     "as 10.0.0.1:7000");
    } else if (!seen.insert(seat).second) {
      faults.Add(contract_fault::contradiction, LineOf(*node),
                 "seat " + Quoted(seat) + " is listed twice; remove one");
    }
    set.seats.push_back(std::move(seat));
  }
  if (set.seats.empty() && reader.Has("seats") && faults.Empty()) {
    reader.AddFault(
        contract_fault::out_of_range, "seats",
        "'seats' is empty; list the peer address of each entry host");
  }
}

void ReadCustomer(const toml::table& table, set_document& set,
                  fault_list& faults) {
  toml_reader reader(table, faults);
  customer_entry customer;
  customer.line = LineOf(table);
  customer.name = reader.Name("name");
  customer.revision = revision_id{reader.Integer("revision", 1, kMaxInteger)};
  std::string digest = reader.Text("digest");
  customer.digest_line = reader.Line("digest");
  if (std::optional<std::uint64_t> value = ParseDigest(digest)) {
    customer.digest = *value;
  } else if (reader.Has("digest") && faults.Empty()) {
    reader.AddFault(contract_fault::out_of_range, "digest",
                    "'digest' is " + Quoted(digest) +
                        "; write the 16 hexadecimal digits that 'corianderctl "
                        "digest' prints");
  }
  if (customer.name == kReservedCustomerName) {
    reader.AddFault(contract_fault::out_of_range, "name",
                    "'set' is reserved; choose another customer name");
  }
  if (Raw(set.revision) != 0 && customer.revision > set.revision) {
    reader.AddFault(contract_fault::revision_mismatch, "revision",
                    "'revision' is " + std::to_string(Raw(customer.revision)) +
                        ", above the set's revision " +
                        std::to_string(Raw(set.revision)) +
                        "; raise the set's revision");
  }
  reader.Finish();
  set.customers.push_back(std::move(customer));
}

void SortCustomers(set_document& set, fault_list& faults) {
  std::stable_sort(set.customers.begin(), set.customers.end(),
                   [](const customer_entry& a, const customer_entry& b) {
                     return a.name < b.name;
                   });
  for (std::size_t i = 1; i < set.customers.size(); ++i) {
    const customer_entry& customer = set.customers[i];
    if (customer.name.empty() || customer.name != set.customers[i - 1].name) {
      continue;
    }
    faults.Add(
        contract_fault::contradiction, customer.line,
        "customer " + Quoted(customer.name) + " is listed twice; remove one");
  }
}

void ReadFloor(const toml::table& table, customer_contract& contract,
               fault_list& faults) {
  toml_reader reader(table, faults);
  for (rank r : kAllRanks) {
    contract.floor[RankIndex(r)] =
        FractionToPpm(reader.Number(RankName(r), 0, 1));
  }
  reader.Finish();
  auto sum = std::accumulate(contract.floor.begin(), contract.floor.end(),
                             std::uint64_t{0});
  if (sum > kWholePpm) {
    faults.Add(contract_fault::contradiction, LineOf(table),
               "the floors sum to " + FormatPpm(sum) +
                   "; lower them until the sum is at most 1");
  }
}

void CheckWork(const toml_reader& reader, const work_contract& work,
               fault_list& faults) {
  if (work.deadline_max < work.latency_target) {
    faults.Add(contract_fault::contradiction, reader.Line("deadline_max_ms"),
               "'deadline_max_ms' is below 'latency_target_ms'; raise it to "
               "at least the target");
  }
  if (work.type == work_type::order && reader.Has("min_coverage")) {
    faults.Add(contract_fault::contradiction, reader.Line("min_coverage"),
               "an order has no 'min_coverage'; remove the key");
  }
}

work_contract ReadWork(const toml::table& table, fault_list& faults) {
  toml_reader reader(table, faults);
  bool no_earlier_faults = faults.Empty();
  work_contract work;
  work.kind = reader.Name("kind");
  work.type = static_cast<work_type>(reader.Choice("type", kWorkTypes));
  work.collection = reader.Name("collection");
  work.urgency = static_cast<rank>(reader.Choice("rank", kRankNames));
  work.rate_per_s = reader.Number("rate_per_s", kMinRatePerS, kMaxRatePerS);
  work.burst =
      static_cast<std::uint32_t>(reader.Integer("burst", 1, kMaxBurst));
  work.latency_target = MillisecondsToDuration(
      reader.Number("latency_target_ms", kMinLatencyMs, kMaxDeadlineMs));
  work.deadline_max = MillisecondsToDuration(
      reader.Number("deadline_max_ms", kMinLatencyMs, kMaxDeadlineMs));
  work.min_coverage =
      FractionToPpm(reader.Number("min_coverage", 0, 1, presence::optional));
  reader.Finish();
  if (no_earlier_faults && faults.Empty()) CheckWork(reader, work, faults);
  return work;
}

void ReadAllWork(toml_reader& reader, customer_contract& contract,
                 fault_list& faults) {
  std::set<std::string> kinds;
  for (const toml::table* table : reader.Tables("work", kMaxKinds)) {
    work_contract work = ReadWork(*table, faults);
    if (!work.kind.empty() && !kinds.insert(work.kind).second) {
      faults.Add(contract_fault::contradiction, LineOf(*table),
                 "kind " + Quoted(work.kind) +
                     " is listed twice; remove or rename one");
    }
    contract.work.push_back(std::move(work));
  }
  if (contract.work.empty() && reader.Has("work") && faults.Empty()) {
    reader.AddFault(contract_fault::out_of_range, "work",
                    "'work' is empty; list at least one kind of work");
  }
}

}  // namespace

document_key ParseDocumentKey(std::string_view key) {
  document_key parsed;
  if (key == kHeadKey) {
    parsed.kind = document_kind::head;
    return parsed;
  }
  if (!key.starts_with(kContractPrefix)) return parsed;
  std::string_view rest = key.substr(kContractPrefix.size());
  std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) return parsed;
  std::string_view name = rest.substr(0, slash);
  std::optional<revision_id> revision = ParseRevision(rest.substr(slash + 1));
  if (!revision || !IsName(name)) return parsed;
  parsed.revision = *revision;
  parsed.kind = document_kind::set;
  if (name == kReservedCustomerName) return parsed;
  parsed.kind = document_kind::contract;
  parsed.customer = name;
  return parsed;
}

std::string ContractKey(std::string_view customer, revision_id revision) {
  std::string key(kContractPrefix);
  key += customer;
  return key + "/" + std::to_string(Raw(revision));
}

std::string SetKey(revision_id revision) {
  return std::string(kSetPrefix) + std::to_string(Raw(revision));
}

std::optional<head_document> ParseHead(std::string_view bytes,
                                       fault_list& faults) {
  std::optional<toml::table> table = ParseToml(bytes, faults);
  if (!table) return std::nullopt;
  toml_reader reader(*table, faults);
  if (!reader.ReadFormat()) return std::nullopt;
  head_document head{revision_id{reader.Integer("revision", 1, kMaxInteger)}};
  reader.Finish();
  if (!faults.Empty()) return std::nullopt;
  return head;
}

std::optional<set_document> ParseSet(std::string_view bytes,
                                     revision_id revision, fault_list& faults) {
  std::optional<toml::table> table = ParseToml(bytes, faults);
  if (!table) return std::nullopt;
  toml_reader reader(*table, faults);
  if (!reader.ReadFormat()) return std::nullopt;
  set_document set;
  set.revision = revision_id{reader.Integer("revision", 1, kMaxInteger)};
  if (Raw(set.revision) != 0 && set.revision != revision) {
    reader.AddFault(contract_fault::revision_mismatch, "revision",
                    "'revision' is " + std::to_string(Raw(set.revision)) +
                        " but the key says " + std::to_string(Raw(revision)) +
                        "; publish the document under its own revision");
  }
  ReadSeats(reader, set, faults);
  for (const toml::table* customer :
       reader.Tables("customer", kMaxCustomers, presence::optional)) {
    ReadCustomer(*customer, set, faults);
  }
  reader.Finish();
  SortCustomers(set, faults);
  if (!faults.Empty()) return std::nullopt;
  return set;
}

std::optional<customer_contract> ParseContract(std::string_view bytes,
                                               const document_key& key,
                                               fault_list& faults) {
  std::optional<toml::table> table = ParseToml(bytes, faults);
  if (!table) return std::nullopt;
  toml_reader reader(*table, faults);
  if (!reader.ReadFormat()) return std::nullopt;
  customer_contract contract;
  contract.revision = key.revision;
  contract.customer = reader.Name("customer");
  if (!contract.customer.empty() && contract.customer != key.customer) {
    reader.AddFault(contract_fault::contradiction, "customer",
                    "'customer' is " + Quoted(contract.customer) +
                        " but the key says " + Quoted(key.customer) +
                        "; use one name");
  }
  if (const toml::table* answer = reader.Table("answer")) {
    toml_reader answer_reader(*answer, faults);
    contract.preference = static_cast<answer_preference>(
        answer_reader.Choice("preference", kPreferences));
    answer_reader.Finish();
  }
  if (const toml::table* floor = reader.Table("floor")) {
    ReadFloor(*floor, contract, faults);
  }
  ReadAllWork(reader, contract, faults);
  reader.Finish();
  if (!faults.Empty()) return std::nullopt;
  return contract;
}

}  // namespace corianderrail
