/** @file random.h Seeded pseudo-random generator. */

#pragma once

#include <cstdint>
#include <limits>

namespace corianderrail {

/** SplitMix64 generator: 64 bits of state, and the same sequence on all
 *  platforms. Not suitable for cryptography. */
class random_source {
 public:
  using result_type = std::uint64_t;

  explicit random_source(std::uint64_t seed) : state_(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  /** Uniform in [0, bound); 0 when bound is 0. */
  std::uint64_t Below(std::uint64_t bound) {
    return bound == 0 ? 0 : (*this)() % bound;
  }

  /** Uniform in [0, 1). */
  double Unit() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace corianderrail
