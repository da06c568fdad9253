/** @file cxxtools_compat.h Makes cxxtools compile as C++20; include it before
 *  any cxxtools header. */

#pragma once

#include <cstddef>
#include <memory>
#include <new>

namespace cxxtools {
class Char;
}

/**
 * cxxtools 3.0 uses the member types of std::allocator that C++20 removed.
 * This specialization for the library's own character type restores them and
 * allocates like the general template.
 */
template <>
class std::allocator<cxxtools::Char> {
 public:
  using value_type = cxxtools::Char;
  using pointer = value_type*;
  using const_pointer = const value_type*;
  using reference = value_type&;
  using const_reference = const value_type&;
  using size_type = std::size_t;
  using difference_type = std::ptrdiff_t;

  allocator() noexcept = default;
  template <typename Other>
  // NOLINTNEXTLINE(google-explicit-constructor): implicit per the standard.
  allocator(const allocator<Other>&) noexcept {}

  value_type* allocate(std::size_t count);  // NOLINT: name of the standard.
  // NOLINTNEXTLINE(readability-identifier-naming): name of the standard.
  void deallocate(value_type* memory, std::size_t) noexcept {
    ::operator delete(static_cast<void*>(memory));
  }

  friend bool operator==(const allocator&, const allocator&) { return true; }
};

#include <cxxtools/char.h>

inline cxxtools::Char* std::allocator<cxxtools::Char>::allocate(
    std::size_t count) {
  return static_cast<value_type*>(::operator new(count * sizeof(value_type)));
}
