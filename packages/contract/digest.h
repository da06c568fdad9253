/** @file digest.h Digests of documents. */

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/contract_type.h"

namespace corianderrail {

/** XXH3-64 of the bytes of one document. */
std::uint64_t ComputeDigest(std::string_view bytes);

/**
 * XXH3-64 over the keys and bytes of several documents, each preceded by its
 * length, in the order given.
 */
std::uint64_t ComputeDigest(std::span<const contract_document> documents);

/** Writes a digest as 16 lower-case hexadecimal digits. */
std::string FormatDigest(std::uint64_t digest);

/** Parses the output of FormatDigest(); std::nullopt for any other text. */
std::optional<std::uint64_t> ParseDigest(std::string_view text);

}  // namespace corianderrail
