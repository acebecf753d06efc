#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Estimates whether a shared prefix has been read by some engine since a moment. Not thread-safe.
 *
 * A gateway sees only its part of the traffic, so most prefixes that are new to it have been sent by others. How often
 * prefixes come back here, times the number of gateways, tells how often they come back anywhere.
 */
class prefix_reuse_estimator {
public:
    /** @param time Clock; must outlive this object. */
    explicit prefix_reuse_estimator(const base::clock &time) : time_{time} {}

    /** @brief Counts a request. @param key Of its shared prefix. */
    void on_request(std::uint64_t key);

    /** @brief Sets the number of gateways that share the traffic; at least 1. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @return Probability that a prefix has been used since a moment, by a request to any gateway. */
    [[nodiscard]] double used_since(base::instant since) const noexcept;

    /** @brief Forgets old counts. Call it about once a second. */
    void expire();

private:
    void advance() noexcept;

    const base::clock &time_;
    std::uint32_t gateways_{1};
    std::optional<base::instant> begun_; /**< First request. */
    std::unordered_map<std::uint64_t, base::instant> last_use_;
    double repeats_{0};    /**< Requests whose prefix had been used here before, decaying. */
    double exposure_s_{0}; /**< Time for which prefixes could have come back, summed over them, decaying alike. */
    base::instant advanced_at_{};
};

} // namespace dotterelstack::gateway
