#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Estimates the probability that a shared prefix was used anywhere since a given time. Not thread-safe.
 *
 * A gateway sees only a part of the traffic, so most prefixes that are new to it have already been sent by others. The
 * rate at which prefixes recur here is multiplied by the number of gateways to estimate the rate over all gateways.
 */
class prefix_reuse_estimator {
public:
    /** @param time Clock; must outlive this object. */
    explicit prefix_reuse_estimator(const base::clock &time) : time_{time} {}

    /** @brief Counts a request. @param key Of its shared prefix. */
    void on_request(std::uint64_t key);

    /** @brief Sets the number of gateways that share the traffic; at least 1. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @return Probability that a prefix was used since the given time by a request to any gateway. */
    [[nodiscard]] double used_since(base::instant since) const noexcept;

    /** @brief Decays the counts and drops old prefixes. Call it about once a second. */
    void expire();

private:
    void accumulate_exposure() noexcept;

    const base::clock &time_;
    std::uint32_t gateways_{1};
    std::optional<base::instant> first_request_at_;
    std::unordered_map<std::uint64_t, base::instant> last_use_;
    double repeats_{0};    /**< Requests with a known prefix, with exponential decay. */
    double exposure_s_{0}; /**< Total time for which known prefixes could have recurred, with the same decay. */
    base::instant advanced_at_{};
};

} // namespace dotterelstack::gateway
