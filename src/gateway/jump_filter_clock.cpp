#include "gateway/jump_filter_clock.hpp"

#include <algorithm>
#include <cstdlib>

#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

std::int64_t since_boot_ms(base::instant at) noexcept {
    return base::to_milliseconds(at.time_since_epoch());
}

} // namespace internal

jump_filter_clock::jump_filter_clock(const base::clock &steady, wall_clock system, jump_filter_settings settings)
    : steady_{steady}, system_{std::move(system)}, settings_{settings},
      offset_ms_{static_cast<std::int64_t>(system_()) - internal::since_boot_ms(steady.now())} {}

std::uint64_t jump_filter_clock::now() {
    const std::scoped_lock lock{mutex_};
    const auto at = steady_.now();
    const auto seen = static_cast<std::int64_t>(system_()) - internal::since_boot_ms(at);
    const bool jumped = std::abs(seen - offset_ms_) > base::to_milliseconds(settings_.tolerance);
    if (!jumped) {
        offset_ms_ = seen;
        jumped_at_.reset();
    } else if (!jumped_at_) {
        jumped_at_ = at;
        log::write("time_jumped", {{"by_ms", seen - offset_ms_}});
    } else if (at - *jumped_at_ > settings_.accept_after) {
        log::write("time_corrected", {{"by_ms", seen - offset_ms_}});
        offset_ms_ = seen;
        jumped_at_.reset();
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, internal::since_boot_ms(at) + offset_ms_));
}

} // namespace dotterelstack::gateway
