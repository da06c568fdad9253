/** @file toml.h Includes toml++ with assertions that throw. */

#pragma once

#include <stdexcept>

namespace corianderrail {

/** Thrown when a document violates an internal assertion of toml++. */
class toml_assertion : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/** Replaces assert(), which would abort the process on a bad document. */
constexpr void CheckTomlAssertion(bool condition, const char* what) {
  if (!condition) throw toml_assertion(what);
}

}  // namespace corianderrail

#define TOML_ASSERT(expr) \
  ::corianderrail::CheckTomlAssertion(static_cast<bool>(expr), #expr)

#include <toml++/toml.h>
