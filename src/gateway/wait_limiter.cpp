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

double wait_limiter::ahead_of(const queue &it, unsigned int urgency) {
    std::size_t out = 0;
    for (const auto &[its, n] : it.waiting) {
        out += its <= urgency ? n : 0;
    }
    return static_cast<double>(out);
}

double wait_limiter::rate_of(const queue &it) {
    return std::max(internal::min_placement_rate, it.placed / internal::placement_window_s);
}

bool wait_limiter::may_wait(std::string_view service, base::duration time, unsigned int urgency) {
    const auto &it = refreshed(service);
    return (ahead_of(it, urgency) + 1) / rate_of(it) <= base::to_seconds(time);
}

base::duration wait_limiter::expected_wait(std::string_view service, unsigned int urgency) {
    const auto &it = refreshed(service);
    return base::from_seconds(ahead_of(it, urgency) / rate_of(it));
}

void wait_limiter::begin(std::string_view service, unsigned int urgency) {
    ++refreshed(service).waiting[urgency];
}

void wait_limiter::end(std::string_view service, bool placed, unsigned int urgency) {
    auto &it = refreshed(service);
    auto &n = it.waiting[urgency];
    n -= std::min<std::size_t>(n, 1);
    it.placed += placed ? 1 : 0;
}

std::map<unsigned int, std::size_t> wait_limiter::waiting_by_urgency() const {
    std::map<unsigned int, std::size_t> out;
    for (const auto &[service, it] : queues_) {
        for (const auto &[urgency, n] : it.waiting) {
            out[urgency] += n;
        }
    }
    return out;
}

} // namespace dotterelstack::gateway
