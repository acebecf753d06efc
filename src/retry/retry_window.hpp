#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "retry/budget.hpp"

namespace dotterelstack::retry {

/** @brief Retries that all gateways together may make. */
struct retry_window_settings {
    base::duration window{std::chrono::seconds{10}};
    double ratio{0.2};           /**< For each request in the window. */
    std::uint64_t allowance{20}; /**< Besides the ratio, for all gateways together. */
};

/**
 * @brief Limits the retries towards each service over a sliding window, as this gateway's part of one limit for all.
 *
 * The part is the ratio of the requests seen here and an equal share of the allowance. A tenth of both is kept back,
 * because windows of different gateways and of the judge do not begin together. Not thread-safe.
 */
class retry_window final : public budget {
public:
    /** @param time Clock; must outlive this object. */
    retry_window(const base::clock &time, retry_window_settings settings);

    /** @brief Sets the number of gateways among which the allowance is divided; at least 1. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @brief Changes the limits; what was counted stays. */
    void set_limits(const retry_window_settings &values) noexcept { settings_ = values; }

    void record_request(std::string_view organisation, std::string_view service) override;
    [[nodiscard]] budget_verdict try_acquire(std::string_view organisation, std::string_view service) override;

    /** @return Retries that may be granted now. */
    [[nodiscard]] std::int64_t available(std::string_view service);

private:
    struct account {
        std::deque<base::instant> requests;
        std::deque<base::instant> retries;
    };

    [[nodiscard]] account &refreshed(std::string_view service);
    [[nodiscard]] std::int64_t room(const account &it) const noexcept;

    const base::clock &time_;
    retry_window_settings settings_;
    std::uint32_t gateways_{1};
    std::map<std::string, account, std::less<>> accounts_;
};

} // namespace dotterelstack::retry
