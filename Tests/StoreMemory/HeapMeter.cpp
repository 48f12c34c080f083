#include "HeapMeter.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

// Tests run on one thread.
std::size_t InUse = 0;
std::size_t Most = 0;

void *allocate(std::size_t size) {
  void *memory = std::malloc(std::max<std::size_t>(size, 1));
  if (!memory)
    throw std::bad_alloc{};
  InUse += malloc_usable_size(memory);
  Most = std::max(Most, InUse);
  return memory;
}

void release(void *memory) {
  InUse -= malloc_usable_size(memory);
  std::free(memory);
}

} // namespace

void *operator new(std::size_t size) { return allocate(size); }
void *operator new[](std::size_t size) { return allocate(size); }
void operator delete(void *memory) noexcept { release(memory); }
void operator delete[](void *memory) noexcept { release(memory); }
void operator delete(void *memory, std::size_t) noexcept { release(memory); }
void operator delete[](void *memory, std::size_t) noexcept { release(memory); }

namespace wigeonlift {

HeapMeter::HeapMeter() : AtStart(InUse) { Most = InUse; }

std::size_t HeapMeter::peak() const { return Most - AtStart; }

} // namespace wigeonlift
