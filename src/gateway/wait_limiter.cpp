#include "gateway/wait_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Time constant of the placement rate.
constexpr double placement_window_s = 2;
// Assumed rate, per second, while few requests have been placed from the queue.
constexpr double min_placement_rate = 10;

} // namespace internal

wait_limiter::queue &wait_limiter::refreshed(std::string_view service) {
    const auto now = time_.now();
    auto it = queues_.find(service);
    if (it == queues_.end()) {
        it = queues_.emplace(std::string{service}, queue{.decayed_at = now}).first;
    }
    it->second.placed *= std::exp(-base::to_seconds(now - it->second.decayed_at) / internal::placement_window_s);
    it->second.decayed_at = now;
    return it->second;
}

bool wait_limiter::may_wait(std::string_view service, base::duration time) {
    const auto &it = refreshed(service);
    const double rate = std::max(internal::min_placement_rate, it.placed / internal::placement_window_s);
    return static_cast<double>(it.waiting + 1) / rate <= base::to_seconds(time);
}

void wait_limiter::begin(std::string_view service) {
    ++refreshed(service).waiting;
}

void wait_limiter::end(std::string_view service, bool placed) {
    auto &it = refreshed(service);
    it.waiting -= std::min<std::size_t>(it.waiting, 1);
    it.placed += placed ? 1 : 0;
}

} // namespace dotterelstack::gateway
