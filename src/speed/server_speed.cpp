#include "speed/server_speed.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/seconds.hpp"

namespace dotterelstack::speed {

namespace internal {

// A measurement counts at most this many times more or less than usual, so that one stall does not mark a server.
constexpr double max_ratio = 8;
// The same for the steady part: hosts of one service differ by less. A server that was far slower for a while is not
// measured while it is avoided, and must not be avoided for long after that.
constexpr double max_steady_ratio = 2;
// Standard deviation of the logarithm of a single measurement, while there are too few to tell.
constexpr double assumed_spread = 0.5;
// Window, in reports, of the mean and the spread of reported factors, and neutral reports at its beginning: a single
// one says little about the mean.
constexpr unsigned int report_window = 30;
constexpr unsigned int prior_reports = 3;
// Weight of the newest measurement in the latest slowness, and its greatest value.
constexpr double latest_gain = 0.15;
constexpr double max_slowness = 8;
// Measured times vary by about this factor without any server being slow.
constexpr double usual_spread = 1.3;
// The steady part counts from this logarithm (a fifth slower or faster) and this many standard errors on, and no longer
// below the lower bound.
const double clear_log = std::log(1.2);
const double unclear_log = std::log(1.15);
constexpr double clear_errors = 2;

} // namespace internal

server_speed::server_speed(const base::clock &time, speed_settings settings) : time_{&time}, settings_{settings} {}

double server_speed::kept(base::instant since, base::duration half_life) const noexcept {
    return std::exp2(-base::to_seconds(time_->now() - since) / base::to_seconds(half_life));
}

void server_speed::reported(double factor) noexcept {
    factor_ = std::log(factor);
    reports_ = std::clamp(reports_ + 1, internal::prior_reports + 1, internal::report_window);
    const double deviation = factor_ - factor_mean_;
    factor_mean_ += deviation / reports_;
    factor_variance_ += (deviation * (factor_ - factor_mean_) - factor_variance_) / reports_;
    reported_at_ = time_->now();
}

void server_speed::measured(double ratio) noexcept {
    const double bounded = std::clamp(ratio, 1 / internal::max_ratio, internal::max_ratio);
    const double unexpected = std::log(bounded / time_factor());
    log_slowness_ =
        std::clamp(log_slowness_ * kept(measured_at_, settings_.latest_half_life) + internal::latest_gain * unexpected,
                   0.0, std::log(internal::max_slowness));
    const double seen =
        std::log(std::clamp(bounded / reported_factor(), 1 / internal::max_steady_ratio, internal::max_steady_ratio));
    const double old = kept(measured_at_, settings_.steady_half_life);
    sum_ = sum_ * old + seen;
    squares_ = squares_ * old + seen * seen;
    samples_ = samples_ * old + 1;
    measured_at_ = time_->now();
}

void server_speed::shared(const speed_note &others) noexcept {
    others_ = others;
    shared_at_ = time_->now();
}

speed_note server_speed::own() const noexcept {
    const double old = kept(measured_at_, settings_.steady_half_life);
    return {samples_ > 0 ? sum_ / samples_ : 0, samples_ * old};
}

speed_note server_speed::steady() const noexcept {
    const auto mine = own();
    const double others = others_.samples * settings_.shared_share * kept(shared_at_, settings_.shared_half_life);
    const double n = mine.samples + others;
    return {(mine.log_time * mine.samples + others_.log_time * others) / (n + settings_.prior_samples), n};
}

double server_speed::steady_error() const noexcept {
    double variance = internal::assumed_spread * internal::assumed_spread;
    if (samples_ > 1) {
        const double mean = sum_ / samples_;
        const double seen = std::max(0.0, squares_ / samples_ - mean * mean);
        variance = (seen * samples_ + variance * settings_.prior_samples) / (samples_ + settings_.prior_samples);
    }
    return std::sqrt(variance / (steady().samples + settings_.prior_samples));
}

double server_speed::reported_factor() const noexcept {
    if (!reported_at_) {
        return 1;
    }
    return std::exp(factor_mean_ + (factor_ - factor_mean_) * kept(*reported_at_, settings_.report_half_life));
}

double server_speed::factor_spread() const noexcept {
    if (!reported_at_) {
        return 0;
    }
    const double known = kept(*reported_at_, settings_.report_half_life);
    return std::sqrt(factor_variance_ * (1 - known * known));
}

double server_speed::latest() const noexcept {
    const double value = std::exp(log_slowness_ * kept(measured_at_, settings_.latest_half_life));
    return std::max(1.0, value / internal::usual_spread);
}

void server_speed::settle(double mean_log) noexcept {
    const double log_time = shares_host() ? steady().log_time - mean_log : 0;
    const double bound =
        counted_ == 0 ? std::max(internal::clear_log, internal::clear_errors * steady_error()) : internal::unclear_log;
    const double before = std::exchange(counted_, std::abs(log_time) < bound ? 0 : log_time);
    // What counts as steady from now on was part of the latest slowness until now. Nothing is left of that long after
    // the last measurement, nor without one.
    const double left = kept(measured_at_, settings_.latest_half_life);
    if (const double grown = counted_ - before; grown > 0 && left > 0) {
        log_slowness_ = std::max(0.0, log_slowness_ - grown / left);
    }
}

double server_speed::time_factor() const noexcept {
    return std::exp(counted_) * reported_factor() * latest();
}

} // namespace dotterelstack::speed
