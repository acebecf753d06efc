#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/fair_shares.hpp"
#include "base/byte_budget.hpp"
#include "base/clock.hpp"
#include "base/pause_watch.hpp"
#include "dispatch/exchange.hpp"
#include "gateway/admission_trials.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/backend_protocol.hpp"
#include "gateway/backend_table.hpp"
#include "gateway/crash_quarantine.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/placement.hpp"
#include "gateway/request_facts.hpp"
#include "gateway/request_traits.hpp"
#include "gateway/retry_after_scheduler.hpp"
#include "gateway/start_counter.hpp"
#include "gateway/stream_end.hpp"
#include "gateway/traffic_config.hpp"
#include "gateway/wait_limiter.hpp"
#include "limits/quota_ledger.hpp"
#include "metrics/registry.hpp"
#include "retry/retry_window.hpp"

namespace dotterelstack::gateway {

/** @brief Shared collaborators of the exchanges of a forwarder; must outlive them. */
struct exchange_context {
    const base::clock &time;
    metrics::registry &metrics;
    backend_port &backends;
    const backend_protocol &protocol;
    start_counter &starts;
    const std::string &failure_domain;
    backend_table &table;
    placement &places;
    retry_after_scheduler &retry_schedule;
    wait_limiter &waits;
    admission_trials &trials;
    const base::pause_watch &pauses; /**< Of this process. */
    admission::fair_shares &shares;
    retry::retry_window &retry_budget;
    crash_quarantine &quarantine;
    limits::quota_ledger &quotas;
    base::byte_budget *budget; /**< Of the bytes of answers that are collected whole; null for none. */
};

/** @brief A caller's request with its route and configuration. */
struct opaque_request {
    exchange_request content;
    traffic_config_ptr config; /**< Keeps the route alive. */
    const traffic_route *route{nullptr};
    std::optional<unsigned int> priority;
    base::instant wait_until{}; /**< Until then the request may wait for a place. */
    std::int64_t quota_cost{0}; /**< Charged to the organisation's quota; 0 if it has none. */
};

/** @return Retry properties of the route's requests. */
[[nodiscard]] retry::work_facts work_of(const traffic_route &route) noexcept;

/** @brief Sends a refusal to a caller and logs the reason. */
void refuse_caller(const exchange_context &context, http::caller_port &caller, std::string_view request,
                   std::uint64_t config_version, const dispatch::refusal &why);

/**
 * @brief A request that is forwarded to a backend server without interpreting its body.
 *
 * Prefill and decode of a long prompt may run at different engines. A resumable stream that breaks is continued at
 * another backend server after the last event that was forwarded, within the same response.
 */
class opaque_exchange final : public dispatch::exchange {
public:
    opaque_exchange(const exchange_context &context, dispatch::request_identity of, opaque_request request);

    [[nodiscard]] dispatch::place_result place() override;
    [[nodiscard]] dispatch::call_event_result on_head(int status, const http::field_list &fields) override;
    [[nodiscard]] dispatch::call_event_result on_data(std::string_view part) override;
    [[nodiscard]] dispatch::call_event_result on_end(dispatch::call_end how, const http::response &answer) override;
    [[nodiscard]] std::optional<dispatch::call_failed> stalled() const override;
    void on_attempt_end(dispatch::attempt_outcome how) override;
    [[nodiscard]] bool complete() override;
    void refuse(const dispatch::refusal &why) override;
    [[nodiscard]] dispatch::refusal refusal_for(dispatch::end_reason why, dispatch::ran_claim ran) const override;
    [[nodiscard]] std::string_view backend() const noexcept override { return backend_; }
    [[nodiscard]] bool ends_with_caller() const noexcept override;
    [[nodiscard]] bool call_may_run() const noexcept override { return !prefilling_; }
    [[nodiscard]] dispatch::exchange_rank rank() const noexcept override;
    [[nodiscard]] std::string_view line() const noexcept override;
    [[nodiscard]] dispatch::place_result wait_in_line() override;
    [[nodiscard]] std::string_view wait_group() const noexcept override;

private:
    /** Whether requests that rank after a waiting one find no capacity either. */
    enum class line_effect : std::uint8_t {
        none,
        blocks
    };

    [[nodiscard]] dispatch::place_result wait_or_refuse(const placement_result &placed, line_effect effect);
    void end_wait(bool placed);
    [[nodiscard]] std::optional<dispatch::refusal> refusal_for_traits();
    [[nodiscard]] dispatch::place_result run_on_trial_or_wait(const placement_plan &plan);
    void end_time_trial(trial_end how);
    [[nodiscard]] bool spans_pause() const noexcept { return context_.pauses.paused_since(attempt_started()); }
    /** @return False if a pause of this process may have made the time longer. The time is at most `taken` then. */
    [[nodiscard]] bool is_measurement(base::duration taken, base::duration expected) const noexcept {
        return !spans_pause() || taken < expected;
    }
    [[nodiscard]] trial_end judge_trial(base::duration taken) const noexcept;
    void record_progress();
    [[nodiscard]] base::instant admission_limit() const noexcept;
    [[nodiscard]] base::duration retry_after(base::duration free_in) const;
    [[nodiscard]] base::duration objective_left() const;
    [[nodiscard]] dispatch::outgoing_call start(const placement_plan &plan);
    [[nodiscard]] dispatch::outgoing_call call_to(const backend_state &target, attempt_facts facts);
    void read_head(int status, const http::field_list &fields);
    [[nodiscard]] dispatch::call_event_result after_prefill(bool complete, const http::response &answer);
    [[nodiscard]] dispatch::call_event_result after_handle(std::string handle);
    [[nodiscard]] dispatch::call_event_result after_answer(const http::response &answer);
    [[nodiscard]] dispatch::refusal refusal_with(std::string_view code, dispatch::ran_claim ran) const;
    [[nodiscard]] retry::evidence unknown_outcome() const noexcept;
    [[nodiscard]] bool deliver(const stream_event &event);
    [[nodiscard]] stream_end end_of_stream() const noexcept;
    [[nodiscard]] bool probably_began(dispatch::attempt_outcome how) const noexcept;
    void count_start();
    void record_call_time();
    void begin_answer();
    void forward_server_answer();
    void release_state();
    void finish(int status, std::string_view code);

    const exchange_context &context_;
    const opaque_request request_;
    const request_traits traits_;

    // Order
    const double work_;          /**< For the shares of organisations. */
    const double virtual_start_; /**< See `admission::fair_shares`. */
    bool was_placed_{false};

    bool waiting_{false};        /**< Counted by the wait limiter. */
    bool is_crash_trial_{false}; /**< Runs although traits of it are held; see `crash_quarantine::begin_trial`. */
    bool is_time_trial_{false};  /**< Runs although it is expected to be late; see `admission_trials`. */

    // Attempts
    bool may_split_{true};
    bool prefilling_{false}; /**< The current call is a prefill for another engine. */
    std::vector<std::string> tried_;
    std::string backend_;
    std::string address_;
    std::string decode_backend_;                /**< During a prefill: id of the decode engine. */
    limit_use run_limit_{limit_use::unlimited}; /**< At the server that does the generation, as of the placement. */
    std::string handle_;                        /**< Of prefilled state that no engine has fetched yet. */
    std::string handle_address_;
    double prefill_tokens_{0};
    base::duration expected_{0};        /**< Time to the answer or first event, as estimated at placement. */
    call_estimate estimate_{};          /**< Of the current call. */
    call_estimate transfer_estimate_{}; /**< During a prefill: of the call that follows. */
    bool first_event_seen_{false};      /**< In this attempt. */
    bool start_counted_{false};         /**< This attempt is counted in the usage. */
    bool server_broke_off_{false};      /**< The answer of this attempt was broken off, and not by this gateway. */

    // Answer
    answer_head head_;
    event_splitter events_;
    std::string body_;
    base::byte_holding body_held_;
    std::optional<http::response> server_answer_; /**< An answer other than 200, to be forwarded. */
    server_incarnation incarnation_;              /**< Of the backend server of the last attempt. */
    bool progress_recorded_{false};               /**< For the last attempt. */
    bool started_{false};                         /**< The caller has received the head. */
    bool new_event_{false};     /**< The last attempt has delivered an event that the caller did not have. */
    bool more_expected_{false}; /**< An attempt has broken off inside the event after the last one delivered. */
    std::optional<std::uint64_t> last_event_;
    std::optional<base::instant> last_event_at_;

    // Time from arrival to each milestone, for the log.
    base::duration placed_after_{0};
    base::duration prefilled_after_{0};
    base::duration first_event_after_{0};
};

} // namespace dotterelstack::gateway
