/** @file json_fields.h Strict reading of numbers from JSON objects. */

#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace corianderrail {

/**
 * Reads a non-negative integer that fits into Number. The conversion of
 * nlohmann::json accepts any number, and its result is undefined for numbers
 * that do not fit.
 * @throws std::exception when the value is anything else.
 */
template <std::unsigned_integral Number>
Number GetUnsigned(const nlohmann::json& value) {
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument("not a non-negative integer");
  }
  const auto number = value.get<std::uint64_t>();
  if (number > std::numeric_limits<Number>::max()) {
    throw std::out_of_range("number is too large");
  }
  return static_cast<Number>(number);
}

/** Reads a member like GetUnsigned(); `fallback` when it is absent. */
template <std::unsigned_integral Number>
Number GetUnsignedOr(const nlohmann::json& from, const char* key,
                     Number fallback) {
  const auto found = from.find(key);
  return found == from.end() ? fallback : GetUnsigned<Number>(*found);
}

/**
 * Reads a number from `min_value` to `max_value`.
 * @throws std::exception when the value is anything else.
 */
inline double GetNumberInRange(const nlohmann::json& value, double min_value,
                               double max_value) {
  if (!value.is_number()) throw std::invalid_argument("not a number");
  const auto number = value.get<double>();
  if (!(number >= min_value && number <= max_value)) {
    throw std::out_of_range("number is out of range");
  }
  return number;
}

}  // namespace corianderrail
