/** @file allocation_count.cpp Counts the memory allocations of the process. */

#include <cstdint>
#include <cstdlib>
#include <new>

#include "cost_scenario.h"

namespace {

// The benchmark has one thread, so the counter needs no synchronization.
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
