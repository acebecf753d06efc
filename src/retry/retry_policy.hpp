#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "retry/budget.hpp"

namespace dotterelstack::retry {

/** @brief Properties of a request that decide whether it may be retried. */
struct work_facts {
    bool repeatable{false};      /**< Running it more than once has no side effects. */
    bool resumable{false};       /**< A completion, which can continue at a token offset; implies repeatable. */
    bool idempotency_key{false}; /**< Its key was claimed in the store before it was first handed over. */
    unsigned max_attempts{0};    /**< For this request; 0 for the value in the options of the policy. */
};

/** @brief What is known about whether the attempt that has just ended ran. */
enum class evidence_kind : std::uint8_t {
    never_sent,              /**< The request never left the entry. */
    refused_before_handover, /**< Explicitly rejected, for example by the agent with `ds-ran: no`. */
    never_starts,            /**< The agent confirmed the cancellation of this request for this incarnation. */
    unknown,                 /**< Anything else: a time-out, a connection reset or an unexpected answer. */
    answered,                /**< A complete response with any status. */
    broken_stream            /**< The response started but did not complete. */
};

/** @return The name written to logs. */
[[nodiscard]] std::string_view to_string(evidence_kind kind) noexcept;

struct evidence {
    evidence_kind kind{evidence_kind::unknown};
    std::uint64_t offset{0}; /**< For broken streams: the first token or byte that the caller has not received. */
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
    not_resumable,  /**< The caller has received part of a response that cannot be continued. */
    sender_retries, /**< The sender of this request retries it, so this process does not. */
    attempts,       /**< All attempts of this request are used up. */
    deadline,       /**< The next attempt would start after the deadline. */
    organisation_budget,
    service_budget
};

/** @brief What to do with the claim on the idempotency key in the store. */
enum class claim_action : std::uint8_t {
    none,
    release,       /**< Not run: the caller may repeat the request under the same key. */
    store_unknown, /**< Record that the outcome is unknown; the request is never rerun automatically. */
    store_answer   /**< Keep the response for repeated requests. */
};

struct retry_decision {
    retry_action action{retry_action::give_up};
    std::uint64_t offset{0};           /**< Token or byte at which to resume. */
    base::duration delay{0};           /**< Time to wait before the next attempt. */
    unsigned attempt{0};               /**< Number of the next attempt, for `ds-attempt`. */
    ran_state ran{ran_state::unknown}; /**< Valid only if the request is given up. */
    give_up_reason reason{give_up_reason::none};
    claim_action claim{claim_action::none};
};

/** @brief Limits on the retries of one request. */
struct policy_options {
    unsigned max_attempts{4};
    base::duration initial_delay{
        std::chrono::milliseconds{10}}; /**< Upper bound of the first delay, doubled each time. */
    base::duration max_delay{std::chrono::seconds{1}};
    bool count_unsent_attempts{true}; /**< Attempts that were never sent count towards `max_attempts`. */
    bool charge_sent_attempts{false}; /**< Every retry after an attempt that was sent is charged to the budget, also
                                     after a rejection and when a stream is resumed. */
};

/** @brief State of the attempts of one request so far. Owned by the request. */
class request_history {
public:
    /** @return Whether any attempt may have run; once true, it stays true. */
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

    /** @return Number of the current attempt, counts_as_attempt from 1. */
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
    bool decided_{false};
};

/**
 * @brief Decides how to proceed after an attempt. Only entries and gateways retry; an agent forwards every failure.
 *
 * For work that must not be repeated, cancel the attempt first and report `unknown` only if the cancellation gave no
 * evidence: the decision on `unknown` is final. Not thread-safe.
 */
class retry_policy {
public:
    /** @return Uniform numbers in [0, 1). */
    using random_source = std::function<double()>;

    /** @param clock Must outlive this object. @param budget Shared by all requests of the entry. */
    retry_policy(const base::clock &clock, budget &budget, random_source random, policy_options options = {});

    /**
     * @brief Starts a request and records it in the budgets.
     * @param received_attempt Value of `ds-attempt` in the received request, or 0 if absent. If present, the sender
     * retries and this process does not.
     */
    [[nodiscard]] request_history begin(work_facts work, std::string_view organisation, std::string_view service,
                                        base::instant deadline, unsigned received_attempt = 0);

    /** @return What to do after the current attempt. After a final decision, every further call gives up. */
    [[nodiscard]] retry_decision decide(request_history &request, const evidence &seen);

private:
    [[nodiscard]] give_up_reason reason_to_give_up(const request_history &request, base::duration delay,
                                                   bool counts_as_attempt, bool charged);
    [[nodiscard]] static retry_decision give_up(request_history &request, give_up_reason reason) noexcept;

    const base::clock &clock_;
    budget &budget_;
    random_source random_;
    policy_options options_;
};

} // namespace dotterelstack::retry
