#pragma once

#include "speed/server_speed.hpp"

namespace dotterelstack::speed {

/**
 * @brief Weight of a server as a home of prefixes, by its steady speed. Not thread-safe.
 *
 * Each change of a weight moves prefixes, which must be read again, so there are three steps only, with hysteresis. All
 * gateways derive it from the same records, so that they agree on the homes.
 */
class home_weight {
public:
    /** @param all What all gateways have measured. @param mean_log Mean of `log_time` over the servers of the service.
     */
    void update(const speed_note &all, double mean_log) noexcept;

    /** @return Weight for `weighted_rank`; 1 unless the server is clearly fast or slow. */
    [[nodiscard]] double value() const noexcept;

private:
    int step_{0}; /**< -1 for slow servers, 1 for fast ones. */
};

} // namespace dotterelstack::speed
