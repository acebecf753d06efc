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

    /**
     * @param urgency 0 is the most urgent; less urgent requests are placed later and do not count.
     * @return True when one more request of the service probably gets a place within the time.
     */
    [[nodiscard]] bool may_wait(std::string_view service, base::duration time, unsigned int urgency = 0);

    /** @return Expected time until the requests that wait and are at least as urgent are placed; 0 if none wait. */
    [[nodiscard]] base::duration expected_wait(std::string_view service, unsigned int urgency = 0);

    /** @brief A request begins to wait. */
    void begin(std::string_view service, unsigned int urgency = 0);

    /** @brief A request no longer waits. @param placed It has been placed. */
    void end(std::string_view service, bool placed, unsigned int urgency = 0);

    /** @return Waiting requests of all services by urgency, with 0 for an urgency of which none wait any more. */
    [[nodiscard]] std::map<unsigned int, std::size_t> waiting_by_urgency() const;

private:
    struct queue {
        std::map<unsigned int, std::size_t> waiting{}; /**< By urgency. */
        double placed{0};                              /**< Placements from the queue, with exponential decay. */
        base::instant decayed_at{};
    };

    [[nodiscard]] queue &refreshed(std::string_view service);
    [[nodiscard]] static double ahead_of(const queue &it, unsigned int urgency);
    [[nodiscard]] static double rate_of(const queue &it);

    const base::clock &time_;
    std::map<std::string, queue, std::less<>> queues_;
};

} // namespace dotterelstack::gateway
