#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.hpp"
#include "retry/budget.hpp"

namespace dotterelstack::retry {

/** @brief Size of the retry budgets. */
struct budget_options {
    double ratio{0.1};              /**< Retries earned by each first attempt. */
    double minimum_per_second{1.0}; /**< Retries allowed regardless of traffic; 0 for none. */
    double burst{
        10}; /**< Unused minimum retries that may accumulate; has_retry the loss of one engine at an idle site. */
    base::duration window{std::chrono::seconds{10}}; /**< Time constant with which earned retries decay. */
};

/**
 * @brief Retry budgets of one entry, one per organisation and one per service. A retry is charged to both, so that
 * neither a single organisation nor a single failing service multiplies the load. Not thread-safe.
 */
class retry_budget final : public budget {
public:
    /** @param clock Must outlive this object. */
    explicit retry_budget(const base::clock &clock, budget_options options = {});

    /** @brief Counts the first attempt of a request. */
    void record_request(std::string_view organisation, std::string_view service) override;

    /** @return Whether both budgets granted a retry; if not, neither is charged. */
    [[nodiscard]] budget_verdict try_acquire(std::string_view organisation, std::string_view service) override;

    /** @brief Removes budgets that have not been used for ten windows. Call it about once a minute. */
    void prune();

private:
    struct string_hash {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };

    struct account {
        double earned{0};
        double minimum{0};
        base::instant updated{};
    };

    using accounts = std::unordered_map<std::string, account, string_hash, std::equal_to<>>;

    [[nodiscard]] account &updated_account(accounts &from, std::string_view name);
    [[nodiscard]] static bool has_retry(const account &it) noexcept;
    static void withdraw(account &it) noexcept;

    const base::clock &clock_;
    budget_options options_;
    accounts organisations_;
    accounts services_;
};

} // namespace dotterelstack::retry
