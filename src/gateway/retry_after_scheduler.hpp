#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Computes Retry-After values that spread refused callers over time, at the rate at which requests are placed.
 *
 * Under overload, a fixed or random delay brings all refused callers back while the overload lasts, and most are
 * refused again. Instead, each caller gets the next free slot of its service's schedule. Not thread-safe.
 */
class retry_after_scheduler {
public:
    /** @param time Clock; must outlive this object. */
    explicit retry_after_scheduler(const base::clock &time) : time_{time} {}

    /** @brief A request of the service was placed at a backend server. */
    void on_placed(std::string_view service);

    /**
     * @param free_in Estimated time until a place is free.
     * @param max_delay Upper limit of the delay.
     * @return Delay after which the caller should retry.
     */
    [[nodiscard]] base::duration next_retry_after(std::string_view service, base::duration free_in,
                                                  base::duration max_delay);

private:
    struct turns {
        double placed{0}; /**< Placed requests, with exponential decay. */
        base::instant decayed_at{};
        std::optional<base::instant> last{}; /**< Latest slot assigned. */
    };

    [[nodiscard]] turns &refreshed(std::string_view service);

    const base::clock &time_;
    std::map<std::string, turns, std::less<>> services_;
};

} // namespace dotterelstack::gateway
