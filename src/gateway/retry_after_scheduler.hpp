#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Decides when refused callers may come back: one after the other, at the rate at which places are given.
 *
 * In a flood a fixed or random wait brings all refused callers back while it lasts, and most are refused again. Here
 * each one gets the next free turn of its service. Not thread-safe.
 */
class retry_after_scheduler {
public:
    /** @param time Clock; must outlive this object. */
    explicit retry_after_scheduler(const base::clock &time) : time_{time} {}

    /** @brief A request of the service was given a place. */
    void on_placed(std::string_view service);

    /**
     * @param free_in Estimated time until a place is free.
     * @param longest The caller does not wait longer than this.
     * @return How long the caller should wait.
     */
    [[nodiscard]] base::duration next_turn(std::string_view service, base::duration free_in, base::duration longest);

private:
    struct turns {
        double placed{0}; /**< Places given, decaying. */
        base::instant decayed_at{};
        std::optional<base::instant> last{}; /**< Turn given last. */
    };

    [[nodiscard]] turns &refreshed(std::string_view service);

    const base::clock &time_;
    std::map<std::string, turns, std::less<>> services_;
};

} // namespace dotterelstack::gateway
