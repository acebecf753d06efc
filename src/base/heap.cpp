#include "base/heap.hpp"

#include <malloc.h>

namespace dotterelstack::base {

namespace internal {

// Buffers from this size on are mapped by themselves. Messages of usual size are smaller.
constexpr int mapped_bytes = 64 * 1024;
// Free memory at the end of a heap that is kept for later.
constexpr int kept_free_bytes = 64 * 1024;

} // namespace internal

void return_large_buffers() noexcept {
#ifdef M_MMAP_THRESHOLD
    (void)::mallopt(M_MMAP_THRESHOLD, internal::mapped_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, internal::kept_free_bytes);
#endif
}

void return_free_memory() noexcept {
#ifdef __GLIBC__
    (void)::malloc_trim(0);
#endif
}

} // namespace dotterelstack::base
