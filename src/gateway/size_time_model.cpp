#include "gateway/size_time_model.hpp"

#include <algorithm>
#include <array>

namespace dotterelstack::gateway {

namespace internal {

// Weight kept by earlier measurements when one is added: the last 50 count.
constexpr double kept = 0.98;
// Times without the fixed part of the imaginary measurements, and their least weight.
constexpr std::array<double, 2> prior_ms{0, 100};
constexpr double min_prior_weight = 0.05;
// Errors count relative to the time that the prior gives for the size, which is taken as at least this. A weight that
// followed the estimate would let fast measurements outweigh slow ones.
constexpr double min_expected_ms = 1;
// A measurement counts at most this many times more or less than expected, so that one stalled server does not make
// all servers look slow.
constexpr double max_ratio = 4;
// The rate stays within this factor of the prior.
constexpr double max_rate_factor = 10;

} // namespace internal

size_time_model::size_time_model(size_time_prior prior) noexcept
    : prior_{prior}, fixed_ms_{prior.fixed_ms}, ms_per_unit_{1 / prior.units_per_ms} {}

void size_time_model::record(double units, double taken_ms) noexcept {
    const double expected = std::max(internal::min_expected_ms, expected_ms(units));
    const double taken = std::clamp(taken_ms, expected / internal::max_ratio, expected * internal::max_ratio);
    sums_.scale(internal::kept);
    sums_.add(units, taken, weight_of(units));
    prior_weight_ = std::max(internal::min_prior_weight, prior_weight_ * internal::kept);
    fit();
}

double size_time_model::weight_of(double units) const noexcept {
    const double usual = std::max(internal::min_expected_ms, prior_.fixed_ms + units / prior_.units_per_ms);
    return 1 / (usual * usual);
}

void size_time_model::sums::scale(double factor) noexcept {
    for (auto *it : {&n, &x, &y, &xx, &xy}) {
        *it *= factor;
    }
}

void size_time_model::sums::add(double units, double taken_ms, double weight) noexcept {
    n += weight;
    x += weight * units;
    y += weight * taken_ms;
    xx += weight * units * units;
    xy += weight * units * taken_ms;
}

void size_time_model::fit() noexcept {
    auto all = sums_;
    for (const double ms : internal::prior_ms) {
        const double units = ms * prior_.units_per_ms;
        all.add(units, prior_.fixed_ms + ms, prior_weight_ * weight_of(units));
    }
    const double prior_slope = 1 / prior_.units_per_ms;
    const double slope = (all.n * all.xy - all.x * all.y) / (all.n * all.xx - all.x * all.x);
    ms_per_unit_ = std::clamp(slope, prior_slope / internal::max_rate_factor, prior_slope * internal::max_rate_factor);
    fixed_ms_ = std::max(0.0, (all.y - ms_per_unit_ * all.x) / all.n);
}

} // namespace dotterelstack::gateway
