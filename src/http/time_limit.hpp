#pragma once

#include <chrono>
#include <cstddef>

#include "base/clock.hpp"

namespace dotterelstack::http {

/**
 * @brief Limit on the time of a call whose answer may be large. What has come extends it, so an answer that keeps
 * coming is not cut off, whatever its size, and one that stops coming ends as soon as what is left of the limit has
 * passed.
 * @param timeout Limit before the first byte; zero means none.
 * @param received Bytes of the answer that have come.
 * @param min_rate Lowest rate that is waited for, in bytes a second; 0 extends nothing.
 * @return Longest time from the begin of the call, as far as can be said now.
 */
[[nodiscard]] constexpr base::duration time_limit(base::duration timeout, std::size_t received,
                                                  std::size_t min_rate) noexcept {
    if (timeout <= base::duration{0}) {
        return base::duration::max();
    }
    if (min_rate == 0) {
        return timeout;
    }
    const std::chrono::duration<double> earned{static_cast<double>(received) / static_cast<double>(min_rate)};
    return timeout + std::chrono::duration_cast<base::duration>(earned);
}

} // namespace dotterelstack::http
