#include "base/allocator.hpp"

#include <malloc.h>

namespace dotterelstack::base {

namespace internal {

constexpr int large_buffer_bytes = 128 << 10;
constexpr int kept_free_bytes = 64 << 10;

} // namespace internal

void return_large_buffers() noexcept {
    // Both fail only for values that are out of range.
    (void)::mallopt(M_MMAP_THRESHOLD, internal::large_buffer_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, internal::kept_free_bytes);
}

} // namespace dotterelstack::base
