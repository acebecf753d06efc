#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "retry/budget.hpp"

namespace dotterelstack::retry {

/** @brief Limits on the retries of all gateways together. */
struct retry_window_settings {
    base::duration window{std::chrono::seconds{10}};
    double ratio{0.2};    /**< Retries per request in the window. */
    double allowance{20}; /**< Retries in addition to the ratio, for all gateways together. */
};

/**
 * @brief Limits the retries to each service over a sliding window to this gateway's part of a limit shared by all.
 *
 * The part is the ratio of the requests seen here plus an equal share of the allowance. A tenth of both stays unused,
 * because the windows of different gateways and the window in which the limit is verified do not start together. Not
 * thread-safe.
 */
class retry_window final : public budget {
public:
    /** @param time Clock; must outlive this object. */
    retry_window(const base::clock &time, retry_window_settings settings);

    /** @brief Sets the number of gateways that share the allowance; 0 counts as 1. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @brief Changes the limits; requests and retries counted so far are kept. */
    void set_limits(const retry_window_settings &values) noexcept { settings_ = values; }

    void record_request(std::string_view organisation, std::string_view service) override;
    [[nodiscard]] budget_verdict try_acquire(std::string_view organisation, std::string_view service) override;

    /** @return Number of retries that would be granted now. */
    [[nodiscard]] std::int64_t available(std::string_view service);

private:
    struct account {
        std::deque<base::instant> requests;
        std::deque<base::instant> retries;
    };

    [[nodiscard]] account &updated_account(std::string_view service);
    [[nodiscard]] std::int64_t remaining(const account &it) const noexcept;

    const base::clock &time_;
    retry_window_settings settings_;
    std::uint32_t gateways_{1};
    std::map<std::string, account, std::less<>> accounts_;
};

} // namespace dotterelstack::retry
