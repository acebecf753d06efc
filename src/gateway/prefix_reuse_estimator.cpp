#include "gateway/prefix_reuse_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Prior: a prefix recurs every 5 s at some gateway, which is the usual order of magnitude.
constexpr double assumed_interval_s = 5;
// Weight of the prior, as a number of observed repeats.
constexpr double assumed_repeats = 2;
// Prefixes unused for this long are assumed to be out of use.
constexpr auto prefix_ttl = std::chrono::seconds{60};
// Maximum number of prefixes tracked; more do not change the estimate.
constexpr std::size_t max_prefixes = 4096;
// Decay per second: counts have a half-life of 30 s.
const double decay_factor = std::exp2(-1.0 / 30);

} // namespace internal

void prefix_reuse_estimator::accumulate_exposure() noexcept {
    const auto now = time_.now();
    exposure_s_ += static_cast<double>(last_use_.size()) * base::to_seconds(now - advanced_at_);
    advanced_at_ = now;
}

void prefix_reuse_estimator::on_request(std::uint64_t key) {
    accumulate_exposure();
    first_request_at_ = first_request_at_.value_or(advanced_at_);
    const auto it = last_use_.find(key);
    if (it != last_use_.end()) {
        repeats_ += 1;
        it->second = advanced_at_;
    } else if (last_use_.size() < internal::max_prefixes) {
        last_use_.emplace(key, advanced_at_);
    }
}

double prefix_reuse_estimator::used_since(base::instant since) const noexcept {
    if (!first_request_at_) {
        return 0;
    }
    const double age = base::to_seconds(time_.now() - std::max(since, *first_request_at_));
    const double gateways = gateways_;
    const double assumed_exposure = internal::assumed_repeats * internal::assumed_interval_s * gateways;
    const double rate = (repeats_ + internal::assumed_repeats) / (exposure_s_ + assumed_exposure);
    return 1 - std::exp(-rate * gateways * age);
}

void prefix_reuse_estimator::expire() {
    accumulate_exposure();
    repeats_ *= internal::decay_factor;
    exposure_s_ *= internal::decay_factor;
    const auto oldest = advanced_at_ - internal::prefix_ttl;
    std::erase_if(last_use_, [oldest](const auto &it) { return it.second < oldest; });
}

} // namespace dotterelstack::gateway
