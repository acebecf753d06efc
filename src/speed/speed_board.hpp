#pragma once

#include <mutex>
#include <utility>

#include "speed/speed_record.hpp"

namespace dotterelstack::speed {

/** @brief Passes the latest own measurements from the thread that makes them to the one that tells them. Thread-safe.
 */
class speed_board {
public:
    void set(speed_record it) {
        const std::scoped_lock lock{mutex_};
        record_ = std::move(it);
    }

    [[nodiscard]] speed_record get() const {
        const std::scoped_lock lock{mutex_};
        return record_;
    }

private:
    mutable std::mutex mutex_;
    speed_record record_;
};

} // namespace dotterelstack::speed
