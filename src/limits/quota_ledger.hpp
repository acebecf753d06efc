#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "limits/quota.hpp"
#include "limits/quota_bank.hpp"
#include "limits/quota_message.hpp"
#include "limits/token_bucket.hpp"

namespace dotterelstack::limits {

/** @brief Decision on a request whose organisation has a quota. */
enum class quota_verdict : std::uint8_t {
    granted,
    ask, /**< The bank probably has enough: send it a report at once, and decide again after its answer. */
    refused
};

/** @brief A decision and the figures that led to it. */
struct quota_decision {
    quota_verdict verdict{quota_verdict::granted};
    std::int64_t cost{0};          /**< Units. */
    std::int64_t held{0};          /**< Units that this gateway held before; negative while it is in debt. */
    std::int64_t level{0};         /**< Units that the bank had left, as known last. */
    bool in_touch{false};          /**< A bank lends; otherwise the gateway's own part is in force. */
    base::duration retry_after{0}; /**< For refusals: when there is enough, later for each further caller. */
};

/** @brief Counts of one organisation at this gateway since its start, in units, and its present state. */
struct quota_figures {
    std::string_view organisation;
    std::int64_t asked{0};
    std::int64_t granted{0};
    std::int64_t refused{0};
    std::int64_t held{0};
};

/**
 * @brief What this gateway may spend of the quotas of organisations.
 *
 * An organisation's account admits a request of any size while it holds something, or while its bank has something
 * left and it has no debt; so it is in debt by one request at most, and pays that back first. While no bank answers,
 * the gateway spends its own part, rate and burst divided by the number of gateways. Not thread-safe.
 */
class quota_ledger {
public:
    /** @param time Clock; must outlive this object. */
    explicit quota_ledger(const base::clock &time) : time_{time} {}

    /** @brief Sets the quotas in force. */
    void set_quotas(const quota_list &all);

    /** @brief Sets the number of gateways, by host name; many are assumed until it is known. */
    void set_gateways(std::size_t n);

    /** @return True when no organisation has a quota. */
    [[nodiscard]] bool empty() const noexcept { return accounts_.empty(); }

    /**
     * @brief Decides on a request, and charges it if it is granted.
     * @param tokens As stated by the request; 0 if not stated.
     * @param first False when the same request is decided again, so that it is not counted as asked twice.
     */
    [[nodiscard]] quota_decision admit(std::string_view organisation, std::uint64_t tokens, bool first = true);

    /** @brief Takes back the charge of a request that was granted and has not run. Call it once at most. */
    void refund(std::string_view organisation, std::int64_t cost);

    /** @return The next report to the bank, which replaces those before it. Name and incarnation are left empty. */
    [[nodiscard]] quota_report report();

    /** @brief Takes the bank's answer. Answers to earlier reports are ignored. */
    void on_answer(const quota_answer &answer);

    /**
     * @brief The bank does not answer: the own parts are in force until one does.
     * @param ended The bank's process has ended, so that it lends no longer what it has lent on the last report.
     */
    void on_bank_lost(bool ended);

    /** @return True while a bank lends to this gateway. */
    [[nodiscard]] bool in_touch() const;

    /** @return Time since the report to which the latest answer came. */
    [[nodiscard]] base::duration age() const { return time_.now() - answered_report_at_; }

    /** @brief Calls a function with the figures of each organisation that has been asked for. */
    void for_each(const std::function<void(const quota_figures &)> &visit) const;

private:
    struct account {
        quota limit;
        token_bucket own;        /**< The gateway's own part; used while no bank lends. */
        bool own_in_force{true}; /**< Of this account, which the bank may not know. */
        std::int64_t spent{0};
        std::int64_t ceiling{0};
        std::int64_t level{0}; /**< Of the bank's bucket as known last. */
        bool dry{false};
        bool active{false}; /**< Asked for lately: it has a row in reports. */
        std::int64_t asked{0};
        std::int64_t granted{0};
        std::int64_t refused{0};
        std::int64_t waiting{0};        /**< Cost of requests that wait for an answer of the bank. */
        std::int64_t reported_asked{0}; /**< `asked` at the latest report. */
        std::uint64_t reported{0};      /**< Latest report with a row of this account, unless that row was answered. */
        double demand{0};               /**< Units a second. */
        double returning{0};            /**< Cost of the callers that have been told to return. */
        base::instant returning_at{};
    };

    struct hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view it) const noexcept { return std::hash<std::string_view>{}(it); }
    };

    /** @param since The bank may lend this gateway's part to others until then. */
    void enter_own_part(account &it, base::instant since, base::instant now) const;
    void leave_own_part(account &it, base::instant now) const;
    void limit_own_part(account &it, base::instant now) const;
    void drop_expired(base::instant now);
    [[nodiscard]] base::duration retry_after(account &it, std::int64_t cost, base::instant now) const;

    const base::clock &time_;
    std::size_t gateways_{assumed_gateways};
    std::unordered_map<std::string, account, hash, std::equal_to<>> accounts_;
    std::uint64_t sequence_{0};
    bool lending_{false};
    base::instant report_at_{};
    base::instant answered_report_at_{};
};

} // namespace dotterelstack::limits
