/** @file edge_settings.cpp Parses and validates the settings. */

#include "edge/edge_settings.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "contract/toml_reader.h"
#include "platform/settings_names.h"
#include "wire/peer_codec.h"

namespace corianderrail::edge {

namespace {

/** Bounds of most_descriptors, which counts connections, files and pipes. */
constexpr std::uint64_t kMinDescriptors = 64;
constexpr std::uint64_t kMaxDescriptors = 1'000'000;

/** Bounds of memory_limit_mb. */
constexpr std::uint64_t kMinMemoryMb = 16;
constexpr std::uint64_t kMaxMemoryMb = 1u << 20;

constexpr std::uint64_t kMaxMilliseconds = 3'600'000;
constexpr std::uint64_t kMaxTtlS = 3600;
constexpr std::size_t kMaxSeeds = 64;

duration Milliseconds(toml_reader& from, std::string_view key,
                      std::uint64_t fallback) {
  return std::chrono::milliseconds(
      from.Integer(key, 1, kMaxMilliseconds, presence::optional, fallback));
}

void ReadSeeds(toml_reader& from, edge_settings& into, fault_list& faults) {
  for (const toml::node* seed :
       from.Strings("seeds", kMaxSeeds, presence::optional)) {
    const std::string text = seed->value_or(std::string());
    if (!IsAddress(text)) {
      faults.Add(contract_fault::syntax, LineOf(*seed),
                 "'" + text + "' is not an address; write IP:PORT");
      continue;
    }
    into.seeds.push_back(text);
  }
}

void ReadRegions(toml_reader& from, edge_settings& into, fault_list& faults) {
  const toml::table* table = from.Table("regions", presence::optional);
  if (table == nullptr) return;
  for (const auto& [zone, region] : *table) {
    const auto name = region.value<std::string>();
    if (!name) {
      faults.Add(contract_fault::syntax, LineOf(region),
                 "the region of a zone must be a string");
      continue;
    }
    into.regions.emplace(std::string(zone.str()), *name);
  }
}

edge_settings ReadSettings(toml_reader& from, fault_list& faults) {
  edge_settings into;
  into.host = from.Text("host");
  into.zone = from.Text("zone");
  into.region = from.Text("region");
  into.client_address = from.Address("client_address");
  into.ready_address = from.Address("ready_address");
  into.lookup_address = from.Address("lookup_address");
  into.peer_address = from.Address("peer_address");
  into.metrics_address = from.Address("metrics_address");
  into.store_address = from.Address("store_address");
  into.shared_key = from.Text("shared_key");
  into.max_descriptors =
      from.Integer("most_descriptors", kMinDescriptors, kMaxDescriptors,
                   presence::optional, into.max_descriptors);
  into.processor_share = from.Number("processor_share", 0.001, 1024,
                                     presence::optional, into.processor_share);
  into.cores = from.Number("cores", 0.01, 1024, presence::optional, into.cores);
  into.link_mbps =
      from.Number("link_mbps", 0.1, 1e6, presence::optional, into.link_mbps);
  into.memory_limit = gateway::memory_limit_mb{from.Integer(
      "memory_limit_mb", kMinMemoryMb, kMaxMemoryMb, presence::optional,
      static_cast<std::uint64_t>(into.memory_limit))};
  into.repeat_ratio =
      from.Number("repeat_ratio", 0, 10, presence::optional, into.repeat_ratio);
  into.repeat_slack = from.Number("repeat_slack", 0, 1e9, presence::optional,
                                  into.repeat_slack);
  into.repeat_window = std::chrono::seconds(
      from.Integer("repeat_window_s", 1, 3600, presence::optional, 10));
  into.leaf_drain = Milliseconds(from, "leaf_drain_ms", 3000);
  into.config_propagation = Milliseconds(from, "config_propagation_ms", 3000);
  if (from.Has("evacuate_ms")) {
    into.evacuate = Milliseconds(from, "evacuate_ms", kMaxMilliseconds);
  }
  into.recovery = Milliseconds(from, "recovery_ms", 5000);
  into.stop_grace = std::chrono::seconds(
      from.Integer("stop_grace_s", 1, 3600, presence::optional, 6));
  into.lookup_ttl_s = static_cast<std::uint32_t>(from.Integer(
      "lookup_ttl_s", 1, kMaxTtlS, presence::optional, into.lookup_ttl_s));
  into.cold_excess = from.Number("cold_excess", 0, 1000, presence::optional, 0);
  into.cold_slack = from.Number("cold_slack", 0, 1e6, presence::optional, 0);
  ReadSeeds(from, into, faults);
  ReadRegions(from, into, faults);
  if (into.shared_key.size() < kMinSharedKeyBytes && from.Has("shared_key")) {
    from.AddFault(contract_fault::out_of_range, "shared_key",
                  "'shared_key' is shorter than " +
                      std::to_string(kMinSharedKeyBytes) +
                      " bytes; choose a longer one");
  }
  from.Finish();
  return into;
}

/** Number in a text; empty for any other text. */
std::optional<double> NumberIn(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  const bool whole_text = read.ec == std::errc() && read.ptr == end;
  if (!whole_text || !std::isfinite(number)) return std::nullopt;
  return number;
}

/** Adds a key unless it exists, as an integer if the number is whole: keys of
 *  times and sizes take no fractions. */
void InsertNumber(toml::table& settings, std::string_view key, double number) {
  const auto whole = static_cast<std::int64_t>(std::llround(number));
  if (static_cast<double>(whole) == number) {
    settings.insert(key, whole);
  } else {
    settings.insert(key, number);
  }
}

/** Replaces the figures of the platform by the settings that they stand for,
 *  unless the settings have these keys already. */
void TranslateFigures(toml::table& settings) {
  for (const std::string_view name : platform::kFigureTables) {
    const toml::table* figures = settings[name].as_table();
    if (figures == nullptr) continue;
    const toml::table copy = *figures;
    settings.erase(name);
    for (const auto& [figure, value] : copy) {
      const std::string_view key = platform::SettingsKeyOf(figure.str());
      const auto number = NumberIn(value.value_or(std::string_view()));
      if (!key.empty() && number) InsertNumber(settings, key, *number);
    }
  }
}

}  // namespace

duration edge_settings::Propagation() const {
  return std::min(config_propagation, evacuate.value_or(config_propagation));
}

edge_settings ParseEdgeSettings(std::string_view text,
                                const std::string& name) {
  fault_list faults(name);
  auto table = ParseToml(text, faults);
  edge_settings settings;
  if (table) {
    TranslateFigures(*table);
    toml_reader reader(*table, faults);
    settings = ReadSettings(reader, faults);
  }
  if (faults.Empty()) return settings;
  std::string all;
  for (const document_fault& fault : faults.Sorted()) {
    if (!all.empty()) all += '\n';
    all += fault.text;
  }
  throw edge_settings_error(all);
}

edge_settings LoadEdgeSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    throw edge_settings_error(path +
                              ": cannot be read; check path and permissions");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseEdgeSettings(text.str(), path);
}

}  // namespace corianderrail::edge
