/** @file property.h Runs rapidcheck properties with a fixed seed. */

#pragma once

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <utility>

namespace corianderrail {

/**
 * Checks a property with `cases` generated inputs. On failure, the Catch2 test
 * reports the shrunk counterexample.
 */
template <typename Property>
void CheckProperty(std::uint64_t seed, int cases, Property&& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata{}, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  REQUIRE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace corianderrail
