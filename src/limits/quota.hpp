#pragma once

#include <algorithm>
#include <cstdint>

namespace dotterelstack::limits {

/** @brief What a quota counts. */
enum class quota_unit : std::uint8_t {
    requests,
    tokens /**< Of the prompt, and of the longest output that the request permits. */
};

/** @brief Limit on what an organisation may use over all gateways together. */
struct quota {
    double rate{0};  /**< Units per second; above 0. */
    double burst{0}; /**< Units beyond the rate after a time of rest; at least 0. */
    quota_unit unit{quota_unit::requests};
    std::int64_t unstated_tokens{1}; /**< Cost of a request that does not state its tokens, if tokens are counted. */

    friend bool operator==(const quota &, const quota &) = default;
};

/** @brief Least burst, in seconds of the rate: with less, requests that come at the same moment would be refused. */
inline constexpr double least_burst_seconds = 0.1;

/** @return Greatest level of the quota's bucket in units; at least 1. */
[[nodiscard]] constexpr double bucket_size(const quota &limit) noexcept {
    return std::max({limit.burst, limit.rate * least_burst_seconds, 1.0});
}

/**
 * @brief Cost of a request.
 * @param tokens Tokens of the prompt and the longest output together, as stated by the request; 0 if not stated.
 * @return Units, at least 1.
 */
[[nodiscard]] constexpr std::int64_t quota_cost(const quota &limit, std::uint64_t tokens) noexcept {
    if (limit.unit == quota_unit::requests) {
        return 1;
    }
    const auto cost = tokens == 0 ? limit.unstated_tokens : static_cast<std::int64_t>(tokens);
    return cost > 0 ? cost : 1;
}

} // namespace dotterelstack::limits
