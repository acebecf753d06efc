#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "base/clock.hpp"
#include "gateway/windowed_start_counter.hpp"

namespace dotterelstack::gateway {

/** @brief Limits of a `jump_filter_clock`. */
struct jump_filter_settings {
    /** Larger differences between the time of day and the steady clock are jumps; smaller ones are followed. */
    base::duration tolerance{std::chrono::milliseconds{100}};
    /** A jump that lasts longer is taken as a correction of the time of day. */
    base::duration accept_after{std::chrono::seconds{60}};
};

/**
 * @brief Time of day that does not follow jumps of the system clock for a while. Thread-safe.
 *
 * Counts by time window are wrong on a host whose clock jumps by seconds and back. The time goes on with the steady
 * clock meanwhile.
 */
class jump_filter_clock {
public:
    /**
     * @param steady Clock that never jumps; must outlive this object.
     * @param system Unix time in ms.
     */
    jump_filter_clock(const base::clock &steady, wall_clock system, jump_filter_settings settings = {});

    /** @return Unix time in ms. */
    [[nodiscard]] std::uint64_t now();

private:
    const base::clock &steady_;
    const wall_clock system_;
    const jump_filter_settings settings_;
    std::mutex mutex_;
    std::int64_t offset_ms_; /**< Time of day less the steady clock. */
    std::optional<base::instant> jumped_at_;
};

} // namespace dotterelstack::gateway
