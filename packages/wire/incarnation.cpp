/** @file incarnation.cpp Identifier of one run of a host. */

#include "wire/incarnation.h"

#include <chrono>
#include <random>

namespace corianderrail {

namespace {

constexpr int kRandomBits = 20;

}  // namespace

incarnation_id MakeIncarnation() {
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  const std::uint64_t random =
      std::random_device{}() & ((1u << kRandomBits) - 1);
  return incarnation_id{(static_cast<std::uint64_t>(unix_ms) << kRandomBits) |
                        random};
}

}  // namespace corianderrail
