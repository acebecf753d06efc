#include "pace/server_pace.hpp"

#include <algorithm>

namespace dotterelstack::pace {

first_step first_step_of(std::uint32_t slots, std::uint32_t gateways, std::uint32_t position) noexcept {
    const std::uint64_t places = std::max(1U, slots);
    const auto n = std::max(1U, gateways);
    first_step out{.requests = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, places / n))};
    for (std::uint64_t size = places, end = places; position >= end; end += size) {
        ++out.group;
        size *= 2;
    }
    return out;
}

server_pace::server_pace(const pace_settings &settings, base::instant now, std::uint32_t slots,
                         first_step first) noexcept
    : settings_{settings}, slots_{std::max(1U, slots)}, limit_{static_cast<double>(std::max(1U, first.requests))},
      opens_at_{now + first.group * settings.step}, calm_since_{opens_at_} {}

std::uint32_t server_pace::limit(base::instant now) const noexcept {
    return now < opens_at_ ? 0 : static_cast<std::uint32_t>(limit_);
}

bool server_pace::over(base::instant now) const noexcept {
    return now >= opens_at_ && (limit_ >= slots_ || now - calm_since_ >= settings_.calm);
}

void server_pace::on_time(base::instant now, double ratio, base::instant sent) noexcept {
    const double allowed = best_ratio_ ? settings_.slow_factor * *best_ratio_ : settings_.slow_first_factor;
    if (ratio > allowed) {
        return on_setback(now, sent);
    }
    best_ratio_ = std::min(best_ratio_.value_or(ratio), ratio);
}

void server_pace::on_answer() noexcept {
    limit_ = std::min<double>(slots_, limit_ + (had_setback_ ? 1 / limit_ : 1));
    rest_ = base::duration{0};
}

void server_pace::on_setback(base::instant now, base::instant sent) noexcept {
    // Requests that were sent before the last setback say nothing about the limit that it has left.
    if (had_setback_ && sent < calm_since_) {
        return;
    }
    if (limit_ < 2) {
        rest_ = std::clamp(2 * rest_, settings_.step, settings_.longest_rest);
        opens_at_ = now + rest_;
    }
    limit_ = std::max(1.0, limit_ / 2);
    had_setback_ = true;
    calm_since_ = now;
}

} // namespace dotterelstack::pace
