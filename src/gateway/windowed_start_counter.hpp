#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "gateway/site_codec.hpp"
#include "gateway/start_counter.hpp"

namespace dotterelstack::gateway {

/** @brief Start counts of several windows. */
using window_counts = std::map<std::uint64_t, start_counts>;

/** @brief Time of day in ms since 1970. */
using wall_clock = std::function<std::uint64_t()>;

/** @return The system's time of day. */
[[nodiscard]] std::uint64_t system_wall_clock();

/** @brief Counts starts by window of the time of day and by organisation. Thread-safe. */
class windowed_start_counter final : public start_counter {
public:
    /**
     * @param now Time of day.
     * @param window Length of a window; window k begins k lengths after the start of 1970.
     * @param keep Number of newest windows that are kept.
     */
    windowed_start_counter(wall_clock now, base::duration window, std::uint64_t keep);

    void on_start(std::string_view organisation) override;

    [[nodiscard]] window_counts counts() const;

    /** @return The current window. */
    [[nodiscard]] std::uint64_t current_window() const;

private:
    const wall_clock now_;
    const std::uint64_t window_ms_;
    const std::uint64_t keep_;
    mutable std::mutex mutex_;
    window_counts counts_;
};

} // namespace dotterelstack::gateway
