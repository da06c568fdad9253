/** @file stable_hash.h Hash functions with the same value on all hosts. */

#pragma once

#include <cstdint>
#include <string_view>

namespace corianderrail {

/** FNV-1a hash of bytes. Pass an earlier result as `basis` to hash several
 *  pieces. */
constexpr std::uint64_t HashBytes(std::string_view bytes,
                                  std::uint64_t basis = 0xCBF29CE484222325ULL) {
  std::uint64_t hash = basis;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001B3ULL;
  }
  return hash;
}

/** Mixes every input bit into all output bits (SplitMix64 finalizer). */
constexpr std::uint64_t MixHash(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xBF58476D1CE4E5B9ULL;
  value ^= value >> 27;
  value *= 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

/** Weight of a candidate for a key in rendezvous hashing; both are hashes. */
constexpr std::uint64_t RendezvousWeight(std::uint64_t key,
                                         std::uint64_t candidate) {
  return MixHash(MixHash(key + 0x9E3779B97F4A7C15ULL) ^ candidate);
}

}  // namespace corianderrail
