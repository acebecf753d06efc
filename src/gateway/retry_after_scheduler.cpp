#include "gateway/retry_after_scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Time over which the rate of places is measured: long against one answer, short against a flood.
constexpr double rate_window_s = 2;
// Part of the places that is left to callers who come back; the rest goes to those who come for the first time.
constexpr double returning_part = 0.5;
// Rate that is assumed until places are given.
constexpr double least_rate = 1;
constexpr auto shortest_wait = std::chrono::milliseconds{50};

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

base::duration retry_after_scheduler::next_turn(std::string_view service, base::duration free_in,
                                                base::duration longest) {
    const auto now = time_.now();
    auto &it = refreshed(service);
    const double rate = std::max(internal::least_rate, it.placed / internal::rate_window_s * internal::returning_part);
    const auto first = now + std::max<base::duration>(free_in, internal::shortest_wait);
    // Turns beyond the patience of callers are not taken, so the schedule does not run away from them.
    const auto next = it.last ? std::max(first, *it.last + base::from_seconds(1 / rate)) : first;
    const auto turn = std::min(next, std::max(first, now + longest));
    it.last = turn;
    return turn - now;
}

} // namespace dotterelstack::gateway
