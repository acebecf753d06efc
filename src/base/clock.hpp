#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace dotterelstack::base {

/** @brief Tag of the time line that counts from boot and includes suspended time. */
struct boot_time {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time>;
    static constexpr bool is_steady = true;
};

using duration = boot_time::duration;
using instant = boot_time::time_point;

/** @return Whole milliseconds, rounded towards zero. */
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration value) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/** @brief Source of the current instant. Instants of different hosts are never compared. */
class clock {
public:
    clock() = default;
    clock(const clock &) = delete;
    clock &operator=(const clock &) = delete;
    virtual ~clock() = default;

    /** @return The current instant; never steps back. */
    [[nodiscard]] virtual instant now() const noexcept = 0;
};

/** @brief `CLOCK_BOOTTIME`, which goes on while the host is suspended. */
class boottime_clock final : public clock {
public:
    [[nodiscard]] instant now() const noexcept override;
};

/** @brief A clock that moves only when told to, for tests and replays. */
class manual_clock final : public clock {
public:
    [[nodiscard]] instant now() const noexcept override { return instant{duration{nanoseconds_.load()}}; }

    /** @param step How far to move forward. */
    void advance(duration step) noexcept { nanoseconds_ += step.count(); }

private:
    std::atomic<duration::rep> nanoseconds_{0};
};

} // namespace dotterelstack::base
