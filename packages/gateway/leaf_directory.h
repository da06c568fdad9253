/** @file leaf_directory.h All leafs that this host knows, by service. */

#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time_type.h"
#include "gateway/leaf_choice.h"
#include "gateway/leaf_monitor.h"
#include "gateway/message_type.h"
#include "gateway/registry_type.h"

namespace corianderrail::gateway {

/** What the registry last said about a leaf. */
enum class listing : std::uint8_t {
  listed,    ///< Ready for work.
  draining,  ///< Leaving.
  removed,   ///< Not listed any more.
};

/** One registration of a leaf, with this host's evidence. */
struct leaf_state {
  leaf_handle handle{};  ///< Never used again.
  std::string key;       ///< Key in the registry.
  leaf_record record;    ///< As registered.
  listing listed = listing::listed;
  time_point listed_since{};  ///< When `listed` changed.
  time_point cold_until{};    ///< Slow until then.
  bool replaced = false;      ///< Another leaf answers at its address.
  bool connecting = false;    ///< A connection is being tried.
  leaf_monitor monitor;       ///< From this host's requests.
};

/** Timing of leafs that leave. */
struct leaf_directory_settings {
  /** A leaf that leaves gets work only within this time, and only when no
   *  other leaf has room. */
  duration last_resort = std::chrono::milliseconds(1800);
};

/** The registry's leafs with their evidence. */
class leaf_directory {
 public:
  explicit leaf_directory(leaf_directory_settings settings);

  void SetLastResort(duration length) { settings_.last_resort = length; }

  /**
   * Applies a change.
   * @return Handle of a registration that ended by it, if any.
   */
  std::vector<leaf_handle> Apply(const registry_change& change, time_point now);

  /** Leafs of a service, also those that leave. */
  std::span<leaf_state* const> LeafsOf(std::string_view service) const;

  leaf_state* Find(leaf_handle handle);

  /** Standing of a leaf for new work. */
  leaf_eligibility Eligibility(const leaf_state& leaf, time_point now) const;

  /** Drops leafs that left and have no open request. */
  std::vector<leaf_handle> RemoveExpired(time_point now);

  std::size_t Size() const { return leafs_.size(); }

  /** Calls `visit` with each leaf. */
  template <typename Visitor>
  void Visit(Visitor&& visit) {
    for (auto& [handle, leaf] : leafs_) visit(*leaf);
  }

 private:
  leaf_state& Add(const std::string& key, const leaf_record& record,
                  time_point now);
  void SetListing(leaf_state& leaf, listing listed, time_point now);
  void Detach(const leaf_state& leaf);

  leaf_directory_settings settings_;
  std::uint32_t next_handle_ = 1;
  std::map<leaf_handle, std::unique_ptr<leaf_state>> leafs_;
  std::unordered_map<std::string, leaf_state*> by_key_;
  std::map<std::string, std::vector<leaf_state*>, std::less<>> by_service_;
};

}  // namespace corianderrail::gateway
