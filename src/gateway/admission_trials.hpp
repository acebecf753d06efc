#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/** @brief How an attempt on trial has ended. */
enum class trial_end : std::uint8_t {
    in_time,
    late,
    unknown /**< It failed or was cancelled, or a pause of this process may have made it late. */
};

/**
 * @brief Lets some requests run although the estimate of their time speaks against it. Not thread-safe.
 *
 * Requests that are refused bring no new measurement, so an estimate that is wrong would stay so. For each service one
 * request at a time may run on trial; twice as many after each answer that was in time, and one again after a late one.
 */
class admission_trials {
public:
    /** @param time Clock; must outlive this object. */
    explicit admission_trials(const base::clock &time) : time_{time} {}

    /** @return True while one more request of the service may run on trial. */
    [[nodiscard]] bool may_begin(std::string_view service) const;

    void begin(std::string_view service);

    /** @brief A trial has ended. @param began Trials that began before a late one ended raise nothing any more. */
    void end(std::string_view service, trial_end how, base::instant began);

private:
    struct trials {
        std::uint32_t running{0};
        std::uint32_t limit{1};
        base::instant ended_at{}; /**< The latest one whose result is known. */
        base::instant late_at{};  /**< End of the latest late one. */
    };

    [[nodiscard]] std::uint32_t limit_of(const trials &it) const;

    const base::clock &time_;
    std::map<std::string, trials, std::less<>> services_;
};

} // namespace dotterelstack::gateway
