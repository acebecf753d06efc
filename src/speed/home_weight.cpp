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
// Fewer measurements do not move prefixes. A server that is told of by fewer than the latter number is usual again, or
// has little work: gateways that start then know nothing about it, and all must agree.
constexpr double enter_samples = 40;
constexpr double leave_samples = 10;

} // namespace internal

void home_weight::update(const speed_note &all, double mean_log) noexcept {
    const bool usual = step_ == 0;
    const double faster = mean_log - all.log_time;
    const int direction = faster < 0 ? -1 : 1;
    const bool enough = all.samples >= (usual ? internal::enter_samples : internal::leave_samples);
    const bool clear = std::abs(faster) > (usual ? internal::enter_log : internal::leave_log);
    step_ = enough && clear && (usual || step_ == direction) ? direction : 0;
}

double home_weight::value() const noexcept {
    return step_ == 0 ? 1 : step_ < 0 ? internal::slow_weight : internal::fast_weight;
}

} // namespace dotterelstack::speed
