#pragma once

namespace dotterelstack::base {

/**
 * @brief Makes the allocator return buffers of 128 KiB and more, and free memory at the end of its heaps, at once.
 *
 * By default it raises that size after the first such buffers, and messages that grow side by side then leave gaps of
 * several times their size.
 */
void return_large_buffers() noexcept;

} // namespace dotterelstack::base
