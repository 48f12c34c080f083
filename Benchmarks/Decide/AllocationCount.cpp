#include "AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

std::uint64_t Allocations = 0;

} // namespace

namespace wigeonlift::bench {

std::uint64_t allocations() { return Allocations; }

} // namespace wigeonlift::bench

void *operator new(std::size_t size) {
  ++Allocations;
  if (void *memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, std::size_t) noexcept { std::free(memory); }
