#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "base/clock.hpp"

namespace dotterelstack::limits {

/** @brief Refill time that a bucket can accumulate; the burst is the rate times this window. */
inline constexpr base::duration burst_window = std::chrono::seconds{1};

/**
 * @brief Token bucket that may go into debt: an amount larger than the burst is allowed when the bucket is full and
 * makes the level negative, so that the long-run rate holds for amounts of any size.
 */
class token_bucket {
public:
    /** @brief Removes the limit. */
    void remove_limit() noexcept { limited_ = false; }

    /**
     * @brief Sets the rate. A bucket that had no limit starts full; otherwise the level is kept, clamped
     * to the new burst.
     * @param rate Units per second; 0 stops the refill.
     */
    void limit(double rate, base::instant now) noexcept {
        limit(rate, rate * std::chrono::duration<double>(burst_window).count(), now);
    }

    /** @brief As above, with a burst that does not follow from the rate. @param burst Greatest level in units. */
    void limit(double rate, double burst, base::instant now) noexcept {
        refill(now);
        level_ = limited_ ? std::min(level_, burst) : burst;
        limited_ = true;
        rate_ = rate;
        burst_ = burst;
        filled_ = now;
    }

    /**
     * @brief Time until an amount is allowed.
     * @param ahead Units that are taken before this amount.
     * @return Zero when allowed now; nothing when the bucket does not refill.
     */
    [[nodiscard]] std::optional<base::duration> wait(double amount, double ahead, base::instant now) const noexcept {
        if (!limited_) {
            return base::duration::zero();
        }
        const double missing = ahead + std::min(amount, burst_) - level_at(now);
        if (rate_ <= 0.0) {
            return std::nullopt;
        }
        if (missing <= tolerance) {
            return base::duration::zero();
        }
        const double seconds = std::min(missing / rate_, max_wait_seconds);
        return base::duration{static_cast<base::duration::rep>(std::ceil(seconds * 1e9))};
    }

    /** @param amount Units taken; negative returns units. */
    void take(double amount, base::instant now) noexcept {
        if (limited_) {
            refill(now);
            level_ = std::min(level_ - amount, burst_);
        }
    }

    [[nodiscard]] double level_at(base::instant now) const noexcept {
        const double seconds = std::chrono::duration<double>(now - filled_).count();
        return std::min(burst_, level_ + rate_ * seconds);
    }

private:
    static constexpr double tolerance = 1e-6; /**< In units; absorbs rounding errors of refills. */
    static constexpr double max_wait_seconds = 86'400.0;

    void refill(base::instant now) noexcept {
        level_ = level_at(now);
        filled_ = now;
    }

    bool limited_{false};
    double rate_{0.0};
    double burst_{0.0};
    double level_{0.0};
    base::instant filled_{};
};

} // namespace dotterelstack::limits
