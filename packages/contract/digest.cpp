/** @file digest.cpp Digests of documents. */

#include "contract/digest.h"

#include <xxhash.h>

#include <charconv>
#include <cstddef>
#include <memory>

namespace corianderrail {

namespace {

constexpr std::size_t kDigestDigits = 16;

struct state_deleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

/** Hashes the length before the text, so that moving bytes from one document
 *  to the next changes the digest. */
void UpdateHash(XXH3_state_t* state, std::string_view text) {
  std::uint64_t size = text.size();
  for (int i = 0; i < 8; ++i) {  // Little-endian on every host.
    auto byte = static_cast<unsigned char>(size >> (8 * i));
    XXH3_64bits_update(state, &byte, 1);
  }
  XXH3_64bits_update(state, text.data(), text.size());
}

}  // namespace

std::uint64_t ComputeDigest(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t ComputeDigest(std::span<const contract_document> documents) {
  std::unique_ptr<XXH3_state_t, state_deleter> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  for (const contract_document& document : documents) {
    UpdateHash(state.get(), document.key);
    UpdateHash(state.get(), document.bytes);
  }
  return XXH3_64bits_digest(state.get());
}

std::string FormatDigest(std::uint64_t digest) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kDigestDigits, '0');
  for (std::size_t i = 0; i < kDigestDigits; ++i) {
    text[kDigestDigits - 1 - i] = kDigits[(digest >> (4 * i)) & 0xF];
  }
  return text;
}

std::optional<std::uint64_t> ParseDigest(std::string_view text) {
  if (text.size() != kDigestDigits) return std::nullopt;
  if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t digest = 0;
  std::from_chars(text.data(), text.data() + text.size(), digest, 16);
  return digest;
}

}  // namespace corianderrail
