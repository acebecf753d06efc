#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "retry/budget.hpp"

namespace dotterelstack::retry {

/** @brief What kind of work a request is. */
struct work_facts {
    bool repeatable{false};      /**< Running it twice does no harm. */
    bool resumable{false};       /**< A completion, which can go on at a token offset; implies repeatable. */
    bool idempotency_key{false}; /**< A claim was made in the store before the first hand-over. */
    unsigned max_attempts{0};    /**< For this request; 0 = as in the options of the policy. */
};

/** @brief What is known about the attempt that has just ended. */
enum class evidence_kind : std::uint8_t {
    never_sent,              /**< The request never left the entry. */
    refused_before_handover, /**< An explicit rejection, such as the agent's `ds-ran: no`. */
    never_starts,            /**< The agent's reply to a cancel that names request and incarnation. */
    unknown,                 /**< Anything else: silence, reset, an unexpected answer. */
    answered,                /**< A complete response, whatever its status. */
    broken_stream            /**< The response began and did not end. */
};

/** @return The name for logs. */
[[nodiscard]] std::string_view to_string(evidence_kind kind) noexcept;

struct evidence {
    evidence_kind kind{evidence_kind::unknown};
    std::uint64_t offset{0}; /**< First token or byte that the caller has not received; for broken streams. */
};

enum class retry_action : std::uint8_t {
    deliver,
    retry_elsewhere,
    resume_elsewhere,
    give_up
};

/** @brief What the caller may be told about a request that was given up. */
enum class ran_state : std::uint8_t {
    no,
    unknown
};

enum class give_up_reason : std::uint8_t {
    none,
    not_repeatable, /**< The work may have run and must not run twice. */
    not_resumable,  /**< The caller has received a part of a response that cannot be continued. */
    sender_retries, /**< The sender of this request does the retrying. */
    attempts,       /**< All attempts of this request are used up. */
    deadline,       /**< The next attempt would start after the deadline. */
    organisation_budget,
    service_budget
};

/** @brief What to do with the claim in the store. */
enum class claim_action : std::uint8_t {
    none,
    release,       /**< Not run: the caller may repeat the request under the same key. */
    store_unknown, /**< Never rerun automatically. */
    store_answer   /**< Keep the response for repeated requests. */
};

struct retry_decision {
    retry_action action{retry_action::give_up};
    std::uint64_t offset{0};           /**< Where to resume. */
    base::duration delay{0};           /**< Wait before the next attempt. */
    unsigned attempt{0};               /**< Number of the next attempt, for `ds-attempt`. */
    ran_state ran{ran_state::unknown}; /**< Valid when given up. */
    give_up_reason reason{give_up_reason::none};
    claim_action claim{claim_action::none};
};

/** @brief Limits of the retries of one request. */
struct policy_options {
    unsigned max_attempts{4};
    base::duration initial_delay{
        std::chrono::milliseconds{10}}; /**< Upper end of the first delay, doubled each time. */
    base::duration max_delay{std::chrono::seconds{1}};
    bool count_unsent_attempts{true}; /**< An attempt that was never sent is one of the attempts. */
    bool charge_sent_attempts{false}; /**< Whatever arrives at a backend server takes from the budget: after a rejection
                                     and when resumed, too. */
};

/** @brief Attempts of one request so far. Owned by the request. */
class request_history {
public:
    /** @return Whether any attempt may have run; never returns to false. */
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

    /** @return Number of the current attempt, from 1. */
    [[nodiscard]] unsigned attempt() const noexcept { return attempt_; }

private:
    friend class retry_policy;

    work_facts work_;
    std::string organisation_;
    std::string service_;
    base::instant deadline_{};
    std::uint64_t offset_{0};
    unsigned attempt_{1};
    bool sender_retries_{false};
    bool may_have_run_{false};
    bool closed_{false};
};

/**
 * @brief Decides what follows a failed attempt. Only entries and gateways retry; an agent passes every failure on.
 *
 * For work that must not be repeated, send the cancel first and report `unknown` only when it brought no
 * evidence: the decision on `unknown` is final. Not thread-safe.
 */
class retry_policy {
public:
    /** @return Uniform numbers in [0, 1). */
    using random_source = std::function<double()>;

    /** @param clock Must outlive this object. @param budget Shared by all requests of the entry. */
    retry_policy(const base::clock &clock, budget &budget, random_source random, policy_options options = {});

    /**
     * @brief Starts a request and counts its first attempt towards the budgets.
     * @param received_attempt Value of `ds-attempt` in the received request, 0 when absent. When present, the
     * sender retries and this process does not.
     */
    [[nodiscard]] request_history begin(work_facts work, std::string_view organisation, std::string_view service,
                                        base::instant deadline, unsigned received_attempt = 0);

    /** @return The decision on the current attempt. After a final decision every call gives up. */
    [[nodiscard]] retry_decision decide(request_history &request, const evidence &seen);

private:
    [[nodiscard]] give_up_reason obstacle(const request_history &request, base::duration delay, bool counted,
                                          bool budgeted);
    [[nodiscard]] static retry_decision give_up(request_history &request, give_up_reason reason) noexcept;

    const base::clock &clock_;
    budget &budget_;
    random_source random_;
    policy_options options_;
};

} // namespace dotterelstack::retry
