#pragma once

namespace dotterelstack::base {

/**
 * @brief Lets the heap return large buffers to the system as soon as they are freed. Call it before other threads
 * start.
 *
 * By default the C library raises its limit for this with each large buffer that is freed. Buffers of messages that
 * grow side by side then leave gaps that together take several times what the messages hold.
 */
void return_large_buffers() noexcept;

/** @brief Returns the heap's free memory to the system; takes milliseconds. Thread-safe. */
void return_free_memory() noexcept;

} // namespace dotterelstack::base
