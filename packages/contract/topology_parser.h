/** @file topology_parser.h Parses topology documents. */

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "contract/document_fault.h"
#include "core/contract_sync.h"
#include "core/index_type.h"

namespace corianderrail {

inline constexpr std::string_view kTopologyKey = "topology";

inline constexpr std::uint32_t kTopologyFormat = 1;
inline constexpr std::size_t kMaxCollections = 64;
inline constexpr std::size_t kMaxServices = 18'000;
inline constexpr std::size_t kMaxLeafsPerService = 32;
inline constexpr std::size_t kMaxMapsPerCollection = 8;
inline constexpr std::size_t kMaxPartitionsPerMap = 18'000;
inline constexpr std::uint64_t kMaxSlots = 1'024;
inline constexpr std::uint64_t kMaxConnections = 100'000;

/**
 * Parses and validates a topology document. The result depends only on the
 * bytes. The identifiers of collections and services are their positions in
 * the document.
 */
topology_verdict ParseTopology(const std::string& bytes);

/**
 * Finds every fault of a topology document, for operators.
 * @param source Key or file name, prefixed to each line number.
 */
std::vector<document_fault> FindTopologyFaults(const std::string& bytes,
                                               const std::string& source);

}  // namespace corianderrail
