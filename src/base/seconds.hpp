#pragma once

#include <chrono>

#include "base/clock.hpp"

namespace dotterelstack::base {

/** @return Seconds, fractions included. */
[[nodiscard]] constexpr double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

/** @return The duration, rounded towards zero. */
[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

} // namespace dotterelstack::base
