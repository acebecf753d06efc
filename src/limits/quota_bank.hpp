#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "limits/quota.hpp"
#include "limits/quota_message.hpp"
#include "limits/token_bucket.hpp"

namespace dotterelstack::limits {

/** @brief The quotas of a configuration, by organisation. */
using quota_list = std::vector<std::pair<std::string, quota>>;

/**
 * @brief Lends the quotas of organisations to the gateways that report to it.
 *
 * Of each quota it lends the part of the gateways that it hears: with `n` gateways, those of which it has had a report
 * within `quota_member_lifetime`, divided by `n`. Gateways that it does not hear use their own parts, or another
 * bank's. Nothing is stored: a new bank begins with empty buckets. Not thread-safe.
 */
class quota_bank {
public:
    /** @param time Clock; must outlive this object. */
    explicit quota_bank(const base::clock &time) : time_{time} {}

    /** @brief Sets the quotas in force. A raised burst is available at once; a lowered one binds at once. */
    void set_quotas(const quota_list &all);

    /** @brief Sets the number of gateways, by host name. */
    void set_gateways(std::size_t n) noexcept { gateways_ = n; }

    /** @return Grants for the report's rows; without rows if the report is late or repeated. */
    [[nodiscard]] quota_answer answer(const quota_report &report);

    /** @return Number of gateways that are heard. */
    [[nodiscard]] std::size_t members(base::instant now) const;

    /** @return Units lent and not reported as spent. */
    [[nodiscard]] std::int64_t lent(std::string_view organisation) const;

private:
    struct member {
        std::string incarnation;
        std::uint64_t sequence{0};
        base::instant heard_at{};
    };

    /** @brief A gateway's use of a quota, as reported last. */
    struct line {
        std::int64_t spent{0};
        std::int64_t ceiling{0};
        std::int64_t missing{0}; /**< Wanted in addition to what it held. */
        base::instant expires{};

        [[nodiscard]] std::int64_t held() const noexcept { return ceiling - spent; }
    };

    struct account {
        quota limit;
        token_bucket bucket; /**< What can be lent. */
        std::map<std::string, line, std::less<>> lines;
        base::instant expiry_due{};  /**< Of the next look for lines that have expired. */
        std::int64_t outstanding{0}; /**< Lent, not reported as spent and not expired. */
    };

    struct hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view it) const noexcept { return std::hash<std::string_view>{}(it); }
    };

    [[nodiscard]] double part(base::instant now) const;
    static void refill(account &it, double part, base::instant now);
    static void settle(account &it, line &of, const quota_use &use, bool known, base::instant now);
    static quota_grant lend(account &it, line &to, const quota_use &use, base::instant now);
    void forget_lines(std::string_view gateway);
    static void erase_line(account &it, std::map<std::string, line, std::less<>>::iterator at);
    static void expire(account &it, base::instant now);

    const base::clock &time_;
    std::size_t gateways_{assumed_gateways};
    std::map<std::string, member, std::less<>> members_;
    std::unordered_map<std::string, account, hash, std::equal_to<>> accounts_;
    std::set<std::string, std::less<>> dry_; /**< Organisations of which nothing was left when last looked at. */
};

} // namespace dotterelstack::limits
