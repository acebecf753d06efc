#include "gateway/retry_after_scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Time constant of the placement rate: long compared with one answer, short compared with an overload.
constexpr double rate_window_s = 2;
// Fraction of the placement rate scheduled for returning callers; the rest is for new ones.
constexpr double returning_fraction = 0.5;
// Lower limit of the rate, per second; applies until requests are placed.
constexpr double min_rate = 1;
constexpr auto min_delay = std::chrono::milliseconds{50};

} // namespace internal

retry_after_scheduler::turns &retry_after_scheduler::refreshed(std::string_view service) {
    const auto now = time_.now();
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string{service}, turns{.decayed_at = now}).first;
    }
    auto &it = found->second;
    const double passed = base::to_seconds(now - it.decayed_at);
    it.placed *= std::exp(-passed / internal::rate_window_s);
    it.decayed_at = now;
    return it;
}

void retry_after_scheduler::on_placed(std::string_view service) {
    refreshed(service).placed += 1;
}

base::duration retry_after_scheduler::next_retry_after(std::string_view service, base::duration free_in,
                                                       base::duration max_delay) {
    const auto now = time_.now();
    auto &it = refreshed(service);
    const double rate =
        std::max(internal::min_rate, it.placed / internal::rate_window_s * internal::returning_fraction);
    const auto first = now + std::max<base::duration>(free_in, internal::min_delay);
    // Slots after the caller's limit are not assigned, so that the schedule does not grow beyond what callers accept.
    const auto next = it.last ? std::max(first, *it.last + base::from_seconds(1 / rate)) : first;
    const auto slot = std::min(next, std::max(first, now + max_delay));
    it.last = slot;
    return slot - now;
}

} // namespace dotterelstack::gateway
