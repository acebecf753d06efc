#include "speed/home_weight.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelstack::speed {

namespace internal {

// Weights of the steps. Servers of one service differ by about this much when their hosts are of several generations.
constexpr double slow_weight = 0.6;
constexpr double fast_weight = 1.6;
// Logarithm of the time from which a server leaves the middle step, and below which it returns: 1.35 and 1.15 times.
const double enter_log = std::log(1.35);
const double leave_log = std::log(1.15);
// Fewer measurements do not move prefixes.
constexpr double min_samples = 40;

} // namespace internal

void home_weight::update(const speed_note &all, double mean_log) noexcept {
    if (all.samples < internal::min_samples) {
        return;
    }
    const double faster = mean_log - all.log_time;
    const double bound = step_ == 0 ? internal::enter_log : internal::leave_log;
    const int direction = faster < 0 ? -1 : 1;
    const bool stays = step_ == 0 || step_ == direction;
    step_ = std::abs(faster) > bound && stays ? direction : 0;
}

double home_weight::value() const noexcept {
    return step_ == 0 ? 1 : step_ < 0 ? internal::slow_weight : internal::fast_weight;
}

} // namespace dotterelstack::speed
