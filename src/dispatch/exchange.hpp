#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/clock.hpp"
#include "dispatch/attempt.hpp"
#include "dispatch/call_port.hpp"
#include "dispatch/refusal.hpp"
#include "http/caller_port.hpp"
#include "http/message.hpp"
#include "retry/retry_policy.hpp"

namespace dotterelstack::dispatch {

/** @brief Properties common to requests of all kinds. */
struct request_identity {
    std::string id; /**< For logs; unique only if this process assigned it. */
    std::shared_ptr<http::caller_port> caller;
    std::string organisation;
    std::string service;
    base::instant received{};
    base::instant deadline{};
    retry::work_facts work{};
};

/** @brief Stage of a request. */
enum class exchange_stage : std::uint8_t {
    held,      /**< Its front end has not started it yet. */
    waiting,   /**< For capacity at a backend server. */
    delayed,   /**< Until the time of the next attempt. */
    calling,   /**< An attempt is in progress. */
    inquiring, /**< An attempt broke off, and an inquiry about whether it ran is pending. */
    answered   /**< Answered; its front end still has to finish it. */
};

/** @brief A call to be made. */
struct outgoing_call {
    std::string address;
    http::request message;
    base::duration timeout{0}; /**< Limit for the whole call. */
};

/** @brief No backend server has capacity now, but one is expected to have some before the deadline. */
struct wait_for_capacity {
    base::instant until{};   /**< Afterwards placement is tried even if others of the line or group still wait. */
    bool blocks_line{false}; /**< Requests of its line that rank after it find no capacity either. */
};

/** @brief Rank among requests that wait for the same capacity; the least is placed first. */
struct exchange_rank {
    unsigned int urgency{0}; /**< 0 is the most urgent. */
    double virtual_start{0}; /**< See `admission::fair_shares`; 0 without shares. */
    base::instant due{};     /**< Time by which the caller needs the answer. */

    [[nodiscard]] friend auto operator<=>(const exchange_rank &, const exchange_rank &) = default;
};

/** @brief A call to the chosen backend server, a wait for capacity, or a refusal. */
using place_result = std::variant<outgoing_call, wait_for_capacity, refusal>;

struct call_pending {};

struct call_failed {
    retry::evidence seen;
    attempt_outcome how{attempt_outcome::broken};
};

struct call_complete {};

/** @brief The attempt continues with a second call. */
struct follow_up_call {
    outgoing_call next;
};

/** @brief The caller no longer accepts data of the answer. */
struct caller_disconnected {};

/** @brief What the engine has to do after an event of a call. */
using call_event_result = std::variant<call_pending, call_failed, call_complete, follow_up_call, caller_disconnected>;

/** @brief Why a request ends without an answer from a backend server. */
enum class end_reason : std::uint8_t {
    outcome_unknown,    /**< It may have run and must not run again. */
    retry_budget,       /**< The retry budget is used up because too many requests fail. */
    attempts_exhausted, /**< All attempts have failed. */
    deadline,
    caller_gone
};

/** @return The stable code used in answers and logs. */
[[nodiscard]] std::string_view to_string(end_reason why) noexcept;

/**
 * @brief One request in progress. Implementations define how a kind of work is placed, sent, read and answered; the
 * engine decides when.
 *
 * All functions are called on the engine's thread, and none after `refuse`.
 */
class exchange {
public:
    explicit exchange(request_identity of) : identity_{std::move(of)} {}
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;
    exchange(exchange &&) = delete;
    exchange &operator=(exchange &&) = delete;
    virtual ~exchange() = default;

    [[nodiscard]] const request_identity &identity() const noexcept { return identity_; }
    [[nodiscard]] exchange_stage stage() const noexcept { return stage_; }
    [[nodiscard]] const retry::request_history &history() const noexcept { return history_; }

    /** @brief Chooses a backend server for the next attempt and adds the attempt to its load. */
    [[nodiscard]] virtual place_result place() = 0;

    [[nodiscard]] virtual call_event_result on_head(int status, const http::field_list &fields) = 0;
    [[nodiscard]] virtual call_event_result on_data(std::string_view part) = 0;
    [[nodiscard]] virtual call_event_result on_end(call_end how, const http::response &answer) = 0;

    /** @brief Called once for each placed call, when it has ended. */
    virtual void on_attempt_end(attempt_outcome how) = 0;

    /**
     * @brief Asked from time to time while a call is in progress.
     * @return Why to cancel the call and try elsewhere, if its backend server has stalled; else empty.
     */
    [[nodiscard]] virtual std::optional<call_failed> stalled() const { return std::nullopt; }

    /** @brief Completes the answer. @return False when the front end has to finish the exchange later. */
    [[nodiscard]] virtual bool complete() = 0;

    /** @brief Sends the caller a final answer other than success, or aborts an answer that has begun. */
    virtual void refuse(const refusal &why) = 0;

    [[nodiscard]] virtual refusal refusal_for(end_reason why, ran_claim ran) const = 0;

    /** @return Name of the backend server used by the last attempt. */
    [[nodiscard]] virtual std::string_view backend() const noexcept = 0;

    /** @return True when the work has no use after the caller has disconnected. */
    [[nodiscard]] virtual bool ends_with_caller() const noexcept = 0;

    /** @return False while the call in progress does not execute the request. */
    [[nodiscard]] virtual bool call_may_run() const noexcept { return true; }

    /** @brief Asks whether the last attempt ran. @return How long to wait for the reply; empty if nobody can tell. */
    [[nodiscard]] virtual std::optional<base::duration> inquire() { return std::nullopt; }

    /** @return Rank among waiting requests; must not change while the request waits. */
    [[nodiscard]] virtual exchange_rank rank() const noexcept { return {.due = identity_.received}; }

    /**
     * @return Requests of one line take capacity in order of rank: a new one is not placed while one that ranks before
     * it waits and blocks the line. Empty: the request is in no line.
     */
    [[nodiscard]] virtual std::string_view line() const noexcept { return {}; }

    /** @brief Called instead of the first `place` while the request's line is blocked. @return A wait or a refusal. */
    [[nodiscard]] virtual place_result wait_in_line() { return place(); }

    /** @return Requests of one group wait for the same capacity: while one has to wait, so do all. Empty: no group. */
    [[nodiscard]] virtual std::string_view wait_group() const noexcept { return {}; }

protected:
    /** @return When the call in progress, or the last one, was made. */
    [[nodiscard]] base::instant attempt_started() const noexcept { return attempt_started_; }

private:
    friend class engine;

    const request_identity identity_;
    retry::request_history history_{};
    exchange_stage stage_{exchange_stage::held};
    call_id call_{0}; /**< 0 if none. */
    base::instant attempt_started_{};
    std::optional<exchange_rank> waiting_rank_; /**< While waiting. */
    std::optional<base::instant> caller_checked_at_;
    base::instant
        next_step_{}; /**< While delayed: time of the next attempt. While inquiring or waiting: end of the wait. */
};

/** @return Whether any of the attempts that have ended may have run. */
[[nodiscard]] inline ran_claim ran_claim_of(const exchange &it) noexcept {
    return it.history().may_have_run() ? ran_claim::unknown : ran_claim::no;
}

} // namespace dotterelstack::dispatch
