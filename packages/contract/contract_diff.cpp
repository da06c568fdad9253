/** @file contract_diff.cpp Differences between two contract sets. */

#include "contract/contract_diff.h"

#include <array>
#include <map>
#include <set>

#include "contract/toml_reader.h"

namespace corianderrail {

namespace {

/** Field names, indexed by contract_field. */
constexpr std::array<std::string_view, 15> kFieldNames = {"seats",
                                                          "customer",
                                                          "answer.preference",
                                                          "floor.urgent",
                                                          "floor.normal",
                                                          "floor.background",
                                                          "work",
                                                          "type",
                                                          "collection",
                                                          "rank",
                                                          "rate_per_s",
                                                          "burst",
                                                          "latency_target_ms",
                                                          "deadline_max_ms",
                                                          "min_coverage"};

constexpr std::array<std::string_view, 3> kChangeNames = {"added", "removed",
                                                          "changed"};

std::string FormatFraction(ppm fraction) {
  return FormatNumber(static_cast<double>(fraction) / kWholePpm);
}

std::string FormatMilliseconds(duration value) {
  return FormatNumber(static_cast<double>(value.count()) / 1'000);
}

std::string FormatType(work_type type) {
  return type == work_type::order ? "order" : "query";
}

std::string FormatPreference(answer_preference preference) {
  return preference == answer_preference::latency ? "latency" : "coverage";
}

/** One field of [[work]] and the function that formats its value. */
struct work_field {
  contract_field field{};
  std::string (*format)(const work_contract&);  ///< Returns the value as text.
};

constexpr std::array<work_field, 8> kWorkFields = {{
    {contract_field::type,
     [](const work_contract& w) { return FormatType(w.type); }},
    {contract_field::collection,
     [](const work_contract& w) { return w.collection; }},
    {contract_field::rank,
     [](const work_contract& w) { return std::string(RankName(w.urgency)); }},
    {contract_field::rate_per_s,
     [](const work_contract& w) { return FormatNumber(w.rate_per_s); }},
    {contract_field::burst,
     [](const work_contract& w) { return std::to_string(w.burst); }},
    {contract_field::latency_target,
     [](const work_contract& w) {
       return FormatMilliseconds(w.latency_target);
     }},
    {contract_field::deadline_max,
     [](const work_contract& w) { return FormatMilliseconds(w.deadline_max); }},
    {contract_field::min_coverage,
     [](const work_contract& w) { return FormatFraction(w.min_coverage); }},
}};

constexpr per_rank<contract_field> kFloorFields = {
    contract_field::floor_urgent, contract_field::floor_normal,
    contract_field::floor_background};

/** Collects the differences between two contract sets. */
class contract_comparison {
 public:
  std::vector<contract_change> changes;

  void CompareSeats(const contract_set& before, const contract_set& after);
  void CompareCustomers(const contract_set& before, const contract_set& after);

 private:
  void CompareCustomer(const customer_contract& before,
                       const customer_contract& after);
  void CompareWork(const std::string& customer, const work_contract& before,
                   const work_contract& after);
  void AddIfChanged(contract_field field, const std::string& customer,
                    const std::string& kind, std::string before,
                    std::string after);
};

void contract_comparison::AddIfChanged(contract_field field,
                                       const std::string& customer,
                                       const std::string& kind,
                                       std::string before, std::string after) {
  if (before == after) return;
  changes.push_back({change_kind::changed, field, customer, kind,
                     std::move(before), std::move(after)});
}

void contract_comparison::CompareSeats(const contract_set& before,
                                       const contract_set& after) {
  std::set<std::string> old_seats(before.seats.begin(), before.seats.end());
  std::set<std::string> new_seats(after.seats.begin(), after.seats.end());
  for (const std::string& seat : old_seats) {
    if (new_seats.contains(seat)) continue;
    changes.push_back(
        {change_kind::removed, contract_field::seat, "", "", seat, ""});
  }
  for (const std::string& seat : new_seats) {
    if (old_seats.contains(seat)) continue;
    changes.push_back(
        {change_kind::added, contract_field::seat, "", "", "", seat});
  }
}

void contract_comparison::CompareCustomers(const contract_set& before,
                                           const contract_set& after) {
  for (const auto& [name, contract] : before.customers) {
    auto match = after.customers.find(name);
    if (match != after.customers.end()) {
      CompareCustomer(contract, match->second);
      continue;
    }
    changes.push_back(
        {change_kind::removed, contract_field::customer, name, "", name, ""});
  }
  for (const auto& [name, contract] : after.customers) {
    if (before.customers.contains(name)) continue;
    changes.push_back(
        {change_kind::added, contract_field::customer, name, "", "", name});
  }
}

void contract_comparison::CompareCustomer(const customer_contract& before,
                                          const customer_contract& after) {
  const std::string& customer = before.customer;
  AddIfChanged(contract_field::preference, customer, "",
               FormatPreference(before.preference),
               FormatPreference(after.preference));
  for (std::size_t i = 0; i < kRankCount; ++i) {
    AddIfChanged(kFloorFields[i], customer, "", FormatFraction(before.floor[i]),
                 FormatFraction(after.floor[i]));
  }
  std::map<std::string, const work_contract*> old_work;
  std::map<std::string, const work_contract*> new_work;
  for (const work_contract& work : before.work) old_work[work.kind] = &work;
  for (const work_contract& work : after.work) new_work[work.kind] = &work;
  for (const auto& [kind, work] : old_work) {
    auto match = new_work.find(kind);
    if (match != new_work.end()) {
      CompareWork(customer, *work, *match->second);
      continue;
    }
    changes.push_back(
        {change_kind::removed, contract_field::work, customer, kind, kind, ""});
  }
  for (const auto& [kind, work] : new_work) {
    if (old_work.contains(kind)) continue;
    changes.push_back(
        {change_kind::added, contract_field::work, customer, kind, "", kind});
  }
}

void contract_comparison::CompareWork(const std::string& customer,
                                      const work_contract& before,
                                      const work_contract& after) {
  for (const work_field& entry : kWorkFields) {
    AddIfChanged(entry.field, customer, before.kind, entry.format(before),
                 entry.format(after));
  }
}

}  // namespace

std::string_view FieldName(contract_field field) {
  return kFieldNames[static_cast<std::size_t>(field)];
}

std::string_view ChangeName(change_kind change) {
  return kChangeNames[static_cast<std::size_t>(change)];
}

std::vector<contract_change> DiffContracts(const contract_set& before,
                                           const contract_set& after) {
  contract_comparison comparison;
  comparison.CompareSeats(before, after);
  comparison.CompareCustomers(before, after);
  return std::move(comparison.changes);
}

}  // namespace corianderrail
