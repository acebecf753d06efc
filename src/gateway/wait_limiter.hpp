#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Limits the requests that wait for capacity to those that probably get it in time. Not thread-safe.
 *
 * Requests beyond what the recent rate of placements from the queue can serve are refused at once: the caller can go
 * elsewhere, or come back later, instead of waiting for a refusal.
 */
class wait_limiter {
public:
    /** @param time Clock; must outlive this object. */
    explicit wait_limiter(const base::clock &time) : time_{time} {}

    /** @return True when one more request of the service probably gets a place within the time. */
    [[nodiscard]] bool may_wait(std::string_view service, base::duration time);

    /** @brief A request begins to wait. */
    void begin(std::string_view service);

    /** @brief A request no longer waits. @param placed It has been placed. */
    void end(std::string_view service, bool placed);

private:
    struct queue {
        std::size_t waiting{0};
        double placed{0}; /**< Placements from the queue, with exponential decay. */
        base::instant decayed_at{};
    };

    [[nodiscard]] queue &refreshed(std::string_view service);

    const base::clock &time_;
    std::map<std::string, queue, std::less<>> queues_;
};

} // namespace dotterelstack::gateway
