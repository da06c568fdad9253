/** @file toml.h The TOML library, with assertions that can be handled. */

#pragma once

#include <stdexcept>

namespace corianderrail {

/** The parser of toml++ met a text that it takes for impossible. */
class toml_assertion : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/** Stands in for assert(), which would end the process on a bad document. */
constexpr void CheckTomlAssertion(bool condition, const char* what) {
  if (!condition) throw toml_assertion(what);
}

}  // namespace corianderrail

#define TOML_ASSERT(expr) \
  ::corianderrail::CheckTomlAssertion(static_cast<bool>(expr), #expr)

#include <toml++/toml.h>
