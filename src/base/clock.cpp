#include "base/clock.hpp"

#include <ctime>

namespace dotterelstack::base {

instant boottime_clock::now() const noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return instant{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
}

} // namespace dotterelstack::base
