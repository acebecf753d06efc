#pragma once

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

/** @brief What every request has, whatever its kind. */
struct request_identity {
    std::string id; /**< For logs; unique only where this process gives it. */
    std::shared_ptr<http::caller_port> caller;
    std::string organisation;
    std::string service;
    base::instant received{};
    base::instant deadline{};
    retry::work_facts work{};
};

/** @brief Where a request stands. */
enum class exchange_stage : std::uint8_t {
    held,      /**< Its front end has not started it yet. */
    waiting,   /**< For a place at a backend server. */
    delayed,   /**< For the time of the next attempt. */
    calling,   /**< An attempt is under way. */
    inquiring, /**< An attempt broke off; somebody is asked whether it ran. */
    answered   /**< Its front end finishes it. */
};

/** @brief A call that is to be made. */
struct outgoing_call {
    std::string address;
    http::request message;
    base::duration timeout{0}; /**< Of the whole call. */
};

/** @brief No place now, but one is expected in time. */
struct wait_for_capacity {};

/** @brief A call to a chosen backend server, a wait for a place, or the reason why there will be none. */
using place_result = std::variant<outgoing_call, wait_for_capacity, refusal>;

struct call_pending {};

struct call_failed {
    retry::evidence seen;
    attempt_outcome how{attempt_outcome::broken};
};

struct call_complete {};

/** @brief The attempt goes on with a second call. */
struct follow_up_call {
    outgoing_call next;
};

/** @brief The caller takes no more of the answer. */
struct caller_disconnected {};

/** @brief What follows from an event of a call. */
using call_event_result = std::variant<call_pending, call_failed, call_complete, follow_up_call, caller_disconnected>;

/** @brief Why a request ends without an answer of a backend server. */
enum class end_reason : std::uint8_t {
    outcome_unknown,    /**< It may have run and must not run again. */
    retry_budget,       /**< Too many requests fail. */
    attempts_exhausted, /**< All attempts have failed. */
    deadline,
    caller_gone
};

/** @return The stable code for answers and logs. */
[[nodiscard]] std::string_view to_string(end_reason why) noexcept;

/**
 * @brief One request on its way: how its kind of work is placed, sent, read and answered. The engine decides when.
 *
 * Functions are called by the engine's thread, and never again after `refuse`.
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

    /** @brief Chooses a backend server for the next attempt and counts the attempt there. */
    [[nodiscard]] virtual place_result place() = 0;

    [[nodiscard]] virtual call_event_result on_head(int status, const http::field_list &fields) = 0;
    [[nodiscard]] virtual call_event_result on_data(std::string_view part) = 0;
    [[nodiscard]] virtual call_event_result on_end(call_end how, const http::response &answer) = 0;

    /** @brief The call that was placed last is over; called once for each. */
    virtual void on_attempt_end(attempt_outcome how) = 0;

    /** @brief Ends the answer as complete. @return False when the front end has to finish the exchange later. */
    [[nodiscard]] virtual bool complete() = 0;

    /** @brief Gives the caller a final answer other than success, or breaks an answer off that has begun. */
    virtual void refuse(const refusal &why) = 0;

    [[nodiscard]] virtual refusal refusal_for(end_reason why, ran_claim ran) const = 0;

    /** @return Name of the backend server of the last attempt. */
    [[nodiscard]] virtual std::string_view backend() const noexcept = 0;

    /** @return True when the work is of no use once the caller has gone. */
    [[nodiscard]] virtual bool ends_with_caller() const noexcept = 0;

    /** @return False while a call is under way that is no run of the request. */
    [[nodiscard]] virtual bool call_may_run() const noexcept { return true; }

    /** @brief Asks whether the last attempt ran. @return How long to wait for the reply; nothing if nobody knows. */
    [[nodiscard]] virtual std::optional<base::duration> inquire() { return std::nullopt; }

    /** @return Rank among waiting requests, 0 first. */
    [[nodiscard]] virtual unsigned int priority() const noexcept { return 0; }

protected:
    /** @return When the call under way, or the last one, was made. */
    [[nodiscard]] base::instant attempt_started() const noexcept { return attempt_started_; }

private:
    friend class engine;

    const request_identity identity_;
    retry::request_history history_{};
    exchange_stage stage_{exchange_stage::held};
    call_id call_{0}; /**< 0 = none. */
    base::instant attempt_started_{};
    base::instant next_step_{}; /**< While delayed: of the next attempt. While inquiring: end of the wait. */
};

/** @return What is known about the attempts that have ended. */
[[nodiscard]] inline ran_claim ran_claim_of(const exchange &it) noexcept {
    return it.history().may_have_run() ? ran_claim::unknown : ran_claim::no;
}

} // namespace dotterelstack::dispatch
