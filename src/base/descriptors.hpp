#pragma once

#include <cstddef>

namespace dotterelstack::base {

/** @brief Raises the soft limit on descriptors to the hard one, as far as the system permits. Call it once in `main`.
 */
void raise_descriptor_limit() noexcept;

/** @return Number of descriptors that the process may have open. */
[[nodiscard]] std::size_t descriptor_limit() noexcept;

} // namespace dotterelstack::base
