#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "base/clock.hpp"

namespace dotterelstack::base {

/**
 * @brief Waits on the calling thread, but not beyond a request to stop.
 * @param token Token of the thread.
 * @param wait Longest wait.
 */
inline void wait_unless_stopped(const std::stop_token &token, duration wait) {
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock{mutex};
    wake.wait_for(lock, token, wait, [] { return false; });
}

} // namespace dotterelstack::base
