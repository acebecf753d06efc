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

/** @brief Source of the Unix time in ms. */
using wall_clock = std::function<std::uint64_t()>;

/** @return Unix time of the system clock, in ms. */
[[nodiscard]] std::uint64_t system_wall_clock();

/** @brief Counts starts by time window and organisation. Thread-safe. */
class windowed_start_counter final : public start_counter {
public:
    /**
     * @param now Unix time in ms.
     * @param window Length of a window; window k begins at Unix time k times the length.
     * @param keep Number of most recent windows to keep.
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
