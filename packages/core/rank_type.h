/** @file rank_type.h Ranks of work. */

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace corianderrail {

/** Rank of work; a lower value is served first. */
enum class rank : std::uint8_t { urgent, normal, background };

inline constexpr std::size_t kRankCount = 3;

/** One value for each rank, indexed by RankIndex(). */
template <typename T>
using per_rank = std::array<T, kRankCount>;

inline constexpr per_rank<rank> kAllRanks = {rank::urgent, rank::normal,
                                             rank::background};

inline constexpr per_rank<std::string_view> kRankNames = {"urgent", "normal",
                                                          "background"};

constexpr std::size_t RankIndex(rank r) { return static_cast<std::size_t>(r); }

constexpr std::string_view RankName(rank r) { return kRankNames[RankIndex(r)]; }

}  // namespace corianderrail
