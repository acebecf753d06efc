#include "gateway/windowed_start_counter.hpp"

#include <algorithm>

namespace dotterelstack::gateway {

std::uint64_t system_wall_clock() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

windowed_start_counter::windowed_start_counter(wall_clock now, base::duration window, std::uint64_t keep)
    : now_{std::move(now)}, window_ms_{static_cast<std::uint64_t>(std::max<std::int64_t>(
                                1, std::chrono::duration_cast<std::chrono::milliseconds>(window).count()))},
      keep_{keep} {}

std::uint64_t windowed_start_counter::current_window() const {
    return now_() / window_ms_;
}

void windowed_start_counter::on_start(std::string_view organisation) {
    const auto window = current_window();
    const std::scoped_lock lock{mutex_};
    ++counts_[window][std::string{organisation}];
    while (counts_.size() > keep_) {
        counts_.erase(counts_.begin());
    }
}

window_counts windowed_start_counter::counts() const {
    const std::scoped_lock lock{mutex_};
    return counts_;
}

} // namespace dotterelstack::gateway
