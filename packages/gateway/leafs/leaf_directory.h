/** @file leaf_directory.h Known leafs by service. */

#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time_type.h"
#include "gateway/leafs/leaf_choice.h"
#include "gateway/leafs/leaf_memory.h"
#include "gateway/leafs/leaf_state.h"
#include "gateway/leafs/registry_type.h"
#include "gateway/message_type.h"

namespace corianderrail::gateway {

/** Timing of leafs that leave, and how their performance is learned. */
struct leaf_directory_settings {
  duration drain_time = std::chrono::seconds(3);  ///< A leaving leaf serves on.
  performance_settings
      performance{};  ///< From how many samples leafs are known.
};

/** Leafs of the registry with their health. */
class leaf_directory {
 public:
  explicit leaf_directory(leaf_directory_settings settings);

  void SetDrainTime(duration length) { settings_.drain_time = length; }

  /**
   * Applies a change.
   * @return Handle of the registration that the change replaced, if any.
   */
  std::vector<leaf_handle> Apply(const registry_change& change,
                                 const registry_timing& timing, time_point now);

  /** Leafs of a service, including leaving ones. */
  std::span<leaf_state* const> LeafsOf(std::string_view service) const;

  leaf_state* Find(leaf_handle handle);

  /** Registration under a key of the registry; null without one. */
  const leaf_state* FindKey(const std::string& key) const;

  /** From when a leaf gets no requests; kNever while it does not leave. */
  time_point SendBefore(const leaf_state& leaf) const;

  /** Whether a leaf may get new requests.
   *  @param work How long a request is expected to take. */
  leaf_eligibility Eligibility(const leaf_state& leaf, time_point now,
                               duration work = {}) const;

  /** The leafs of a zone count as cold after an evacuation of the zone. */
  void OnEvacuationEnd(std::string_view zone, time_point now);

  /** Drops removed leafs that get no requests and have none open. What is known
   *  of them is kept in case that their entries return.
   *  @return Their handles. */
  std::vector<leaf_handle> RemoveExpired(time_point now);

  std::size_t Size() const { return leafs_.size(); }
  std::size_t Remembered() const { return memory_.Size(); }

  /** Calls `visit` with each leaf. */
  template <typename Visitor>
  void Visit(Visitor&& visit) {
    for (auto& [handle, leaf] : leafs_) visit(*leaf);
  }

 private:
  leaf_state& Add(const std::string& key, const leaf_record& record,
                  const registry_timing& timing, time_point now);
  static void SetListing(leaf_state& leaf, listing listed, time_point since);
  void Drop(leaf_handle handle, time_point now);

  leaf_directory_settings settings_;
  std::uint32_t next_handle_ = 1;
  leaf_memory memory_;
  std::map<leaf_handle, std::unique_ptr<leaf_state>> leafs_;
  std::unordered_map<std::string, leaf_state*> by_key_;
  std::map<std::string, std::vector<leaf_state*>, std::less<>> by_service_;
};

}  // namespace corianderrail::gateway
