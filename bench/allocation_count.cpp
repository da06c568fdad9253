/** @file allocation_count.cpp Counts the allocations of the bench program. */

#include <cstdint>
#include <cstdlib>
#include <new>

#include "cost_scenario.h"

namespace {

// One thread runs the bench, so a plain counter is enough.
std::uint64_t allocation_count = 0;

}  // namespace

std::uint64_t corianderrail::bench::Allocations() { return allocation_count; }

void* operator new(std::size_t size) {
  ++allocation_count;
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
