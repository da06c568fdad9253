/** @file settings.cpp Settings of a host, read from a TOML file. */

#include "node/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <numeric>
#include <span>
#include <sstream>
#include <vector>

#include "contract/toml.h"
#include "wire/http_client.h"
#include "wire/peer_codec.h"

namespace corianderrail {

namespace {

using kind = settings_error::kind;

/** Largest number of seeds, and largest length of a name or address. */
constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxNameBytes = 64;

/** Largest edit distance at which a known key is suggested. */
constexpr std::size_t kMaxSuggestionDistance = 3;

/** A value with its position, which error messages name. The getters throw
 *  settings_error. */
struct setting_value {
  const std::string& file;  ///< File name for messages.
  const toml::node& node;   ///< Value and line.
  std::string key;          ///< Key for messages.

  [[noreturn]] void Fail(kind reason, const std::string& text) const {
    throw settings_error(
        reason,
        file + ':' + std::to_string(node.source().begin.line) + ": " + text);
  }

  std::string Text(std::size_t min_size, std::size_t max_size) const {
    const auto* value = node.as_string();
    if (value == nullptr) Fail(kind::wrong_type, Quoted() + " must be text");
    const std::size_t size = value->get().size();
    if (size < min_size || size > max_size) {
      Fail(kind::out_of_range, Quoted() + " must have " +
                                   std::to_string(min_size) + " to " +
                                   std::to_string(max_size) + " characters");
    }
    return value->get();
  }

  std::int64_t Integer(std::int64_t min, std::int64_t max) const {
    const auto* value = node.as_integer();
    if (value == nullptr) {
      Fail(kind::wrong_type, Quoted() + " must be an integer");
    }
    if (value->get() < min || value->get() > max) {
      Fail(kind::out_of_range, Quoted() + " must be from " +
                                   std::to_string(min) + " to " +
                                   std::to_string(max));
    }
    return value->get();
  }

  duration Milliseconds(std::int64_t min, std::int64_t max) const {
    return std::chrono::milliseconds(Integer(min, max));
  }

  std::string Address() const {
    auto text = Text(1, kMaxNameBytes);
    try {
      if (ParseIpEndpoint(text).port != 0) return text;
    } catch (const wire_error&) {
      // Not passed on, because Fail() below also names the file and line.
    }
    Fail(kind::out_of_range,
         Quoted() + " must be an IP number and a port, like 192.0.2.1:7000");
  }

  std::string Quoted() const { return "'" + key + "'"; }
};

/** A known key and the function that reads its value. */
struct key_row {
  std::string_view name;  ///< Key as written in the file.
  bool required;          ///< True when a missing key is an error.
  void (*read)(const setting_value& from,
               node_settings& into);  ///< Null for a table.
};

std::vector<std::string> ReadSeeds(const setting_value& from) {
  const auto* list = from.node.as_array();
  if (list == nullptr) {
    from.Fail(kind::wrong_type, "'seeds' must be a list of addresses");
  }
  if (list->size() > kMaxSeeds) {
    from.Fail(kind::out_of_range, "'seeds' must have at most 64 addresses");
  }
  std::vector<std::string> seeds;
  for (const auto& element : *list) {
    seeds.push_back(setting_value{from.file, element, "seeds"}.Address());
  }
  return seeds;
}

std::string ReadLogLevel(const setting_value& from) {
  constexpr std::array<std::string_view, 4> kLevels = {"error", "warn", "info",
                                                       "debug"};
  auto text = from.Text(1, kMaxNameBytes);
  if (std::find(kLevels.begin(), kLevels.end(), text) == kLevels.end()) {
    from.Fail(kind::out_of_range,
              "'log_level' must be error, warn, info or debug");
  }
  return text;
}

log_layout ReadLogLayout(const setting_value& from) {
  const auto text = from.Text(1, kMaxNameBytes);
  if (text == "text") return log_layout::text;
  if (text == "json") return log_layout::json;
  from.Fail(kind::out_of_range, "'log_layout' must be text or json");
}

constexpr std::int64_t kMinuteMs = 60'000;

constexpr std::array<key_row, 12> kTopLevelKeys = {{
    {"peer_address", true,
     [](const setting_value& from, node_settings& into) {
       into.peer_address = from.Address();
     }},
    {"caller_address", true,
     [](const setting_value& from, node_settings& into) {
       into.caller_address = from.Address();
     }},
    {"zone", true,
     [](const setting_value& from, node_settings& into) {
       into.zone = from.Text(1, kMaxNameBytes);
     }},
    {"region", true,
     [](const setting_value& from, node_settings& into) {
       into.region = from.Text(1, kMaxNameBytes);
     }},
    {"capacity", false,
     [](const setting_value& from, node_settings& into) {
       into.capacity = static_cast<std::uint32_t>(from.Integer(1, 1'000'000));
     }},
    {"shared_key", true,
     [](const setting_value& from, node_settings& into) {
       into.shared_key = from.Text(kMinSharedKeyBytes, 256);
     }},
    {"platform_address", true,
     [](const setting_value& from, node_settings& into) {
       into.platform_address = from.Address();
     }},
    {"seeds", false,
     [](const setting_value& from, node_settings& into) {
       into.host.member.seeds = ReadSeeds(from);
     }},
    {"caller_threads", false,
     [](const setting_value& from, node_settings& into) {
       into.caller_threads = static_cast<std::uint32_t>(from.Integer(1, 1024));
     }},
    {"log_level", false,
     [](const setting_value& from, node_settings& into) {
       into.log_level = ReadLogLevel(from);
     }},
    {"log_layout", false,
     [](const setting_value& from, node_settings& into) {
       into.layout = ReadLogLayout(from);
     }},
    {"timing", false, nullptr},
}};

constexpr std::array<key_row, 11> kTimingKeys = {{
    {"probe_period_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.member.probe_period = from.Milliseconds(10, kMinuteMs);
     }},
    {"probe_timeout_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.member.probe_timeout = from.Milliseconds(5, kMinuteMs);
     }},
    {"suspicion_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.member.suspicion = from.Milliseconds(20, kMinuteMs);
     }},
    {"rejoin_period_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.member.rejoin_period = from.Milliseconds(50, kMinuteMs);
     }},
    {"watch_wait_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.reader.watch_wait = from.Milliseconds(50, kMinuteMs);
     }},
    {"host_list_period_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.reader.host_list_period = from.Milliseconds(50, kMinuteMs);
     }},
    {"lease_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.share.lease = from.Milliseconds(50, kMinuteMs);
     }},
    {"time_to_live_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.address.time_to_live = from.Milliseconds(50, kMinuteMs);
     }},
    {"drain_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.phases.drain = from.Milliseconds(50, kMinuteMs);
     }},
    {"drain_limit_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.phases.drain_limit = from.Milliseconds(50, 10 * kMinuteMs);
     }},
    {"leaf_timeout_ms", false,
     [](const setting_value& from, node_settings& into) {
       into.host.owner.leaf_timeout = from.Milliseconds(10, kMinuteMs);
     }},
}};

/** Levenshtein distance of two words. */
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

/** Ends the error message for an unknown key: suggests the most similar known
 *  key, or refers to the documentation when no known key is similar. */
std::string Suggestion(std::string_view word, std::span<const key_row> rows) {
  std::string_view best;
  std::size_t distance = kMaxSuggestionDistance + 1;
  for (const auto& row : rows) {
    const std::size_t found = EditDistance(word, row.name);
    if (found >= distance) continue;
    distance = found;
    best = row.name;
  }
  if (best.empty()) return "; see docs/settings.md for the known keys";
  return "; did you mean '" + std::string(best) + "'?";
}

void ReadTable(const toml::table& table, std::span<const key_row> rows,
               const std::string& file, node_settings& into) {
  for (const auto& [key, value] : table) {
    const std::string name(key.str());
    const setting_value from{file, value, name};
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const key_row& candidate) { return candidate.name == name; });
    if (row == rows.end()) {
      std::string text = file;
      text += ':' + std::to_string(key.source().begin.line);
      text += ": unknown key '" + name + "'";
      text += Suggestion(name, rows);
      throw settings_error(kind::unknown_key, text);
    }
    if (row->read != nullptr) {
      row->read(from, into);
      continue;
    }
    const auto* nested = value.as_table();
    if (nested == nullptr) {
      from.Fail(kind::wrong_type, "'timing' must be a table");
    }
    ReadTable(*nested, kTimingKeys, file, into);
  }
  for (const auto& row : rows) {
    if (!row.required || table.contains(row.name)) continue;
    throw settings_error(kind::missing_key, file + ": missing key '" +
                                                std::string(row.name) + "'");
  }
}

/** Checks rules that concern more than one key. */
void CheckCombinations(const node_settings& settings, const std::string& file) {
  const auto& member = settings.host.member;
  if (member.probe_timeout >= member.probe_period) {
    throw settings_error(kind::out_of_range,
                         file +
                             ": 'probe_timeout_ms' must be below "
                             "'probe_period_ms'");
  }
  if (settings.host.phases.drain < settings.host.address.time_to_live) {
    throw settings_error(kind::out_of_range,
                         file +
                             ": 'drain_ms' must be at least "
                             "'time_to_live_ms', so that callers that know "
                             "the address are still served");
  }
  if (settings.peer_address == settings.caller_address) {
    throw settings_error(kind::out_of_range,
                         file +
                             ": 'peer_address' and 'caller_address' must "
                             "differ");
  }
}

}  // namespace

node_settings ParseSettings(std::string_view text, const std::string& name) {
  node_settings settings;
  try {
    const toml::table table = toml::parse(text, name);
    ReadTable(table, kTopLevelKeys, name, settings);
  } catch (const toml::parse_error& error) {
    throw settings_error(
        kind::syntax, name + ':' + std::to_string(error.source().begin.line) +
                          ": " + std::string(error.description()));
  } catch (const toml_assertion&) {
    throw settings_error(kind::syntax,
                         name +
                             ": a table header has no name; look for a '[' "
                             "without a name after it");
  }
  CheckCombinations(settings, name);
  return settings;
}

node_settings LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  if (!file.good() && !file.eof()) {
    throw settings_error(kind::unreadable,
                         path + ": cannot be read; check --settings");
  }
  const auto slash = path.rfind('/');
  return ParseSettings(text,
                       slash == path.npos ? path : path.substr(slash + 1));
}

}  // namespace corianderrail
