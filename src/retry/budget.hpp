#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelstack::retry {

enum class budget_verdict : std::uint8_t {
    granted,
    organisation_exhausted,
    service_exhausted
};

/** @brief Limits the number of retries in proportion to the number of requests. */
class budget {
public:
    budget() = default;
    budget(const budget &) = default;
    budget &operator=(const budget &) = default;
    virtual ~budget() = default;

    /** @brief Counts a request. */
    virtual void record_request(std::string_view organisation, std::string_view service) = 0;

    /** @return Whether a retry was granted; if not, no budget is charged. */
    [[nodiscard]] virtual budget_verdict try_acquire(std::string_view organisation, std::string_view service) = 0;
};

} // namespace dotterelstack::retry
