#include "admission/recent_times.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::admission {

namespace internal {

// Time constant of the mean: long enough for the answers of a small gateway, shorter than a flood.
constexpr double window_s = 0.4;
// Weight of all samples together, at most: however many they were, they are forgotten within a second.
constexpr double max_weight = 10;
// Weight of the estimate itself, so that a single slow answer says little.
constexpr double estimate_weight = 3;

} // namespace internal

double recent_times::kept(const mean &it) const {
    return std::exp(-base::to_seconds(time_.now() - it.decayed_at) / internal::window_s);
}

void recent_times::record(work_class of, base::duration taken) {
    auto found = services_.find(of.service);
    if (found == services_.end()) {
        found = services_.try_emplace(std::string{of.service}).first;
    }
    auto &it = found->second.try_emplace(of.urgency, mean{.decayed_at = time_.now()}).first->second;
    const double left = kept(it);
    it.weight = it.weight * left + 1;
    it.taken_s = it.taken_s * left + base::to_seconds(taken);
    it.decayed_at = time_.now();
    if (it.weight > internal::max_weight) {
        it.taken_s *= internal::max_weight / it.weight;
        it.weight = internal::max_weight;
    }
}

base::duration recent_times::corrected(work_class of, base::duration estimate) const {
    const auto found = services_.find(of.service);
    if (found == services_.end() || !found->second.contains(of.urgency)) {
        return estimate;
    }
    const auto &it = found->second.at(of.urgency);
    const double left = kept(it);
    const double sum_s = it.taken_s * left + internal::estimate_weight * base::to_seconds(estimate);
    return std::max(estimate, base::from_seconds(sum_s / (it.weight * left + internal::estimate_weight)));
}

} // namespace dotterelstack::admission
