#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/backend_protocol.hpp"
#include "gateway/backend_table.hpp"
#include "gateway/forward_flow.hpp"
#include "gateway/forward_stop.hpp"
#include "gateway/placement.hpp"
#include "gateway/retry_window.hpp"
#include "gateway/traffic_config.hpp"
#include "http/caller_port.hpp"
#include "metrics/registry.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `forwarder`. */
struct forwarder_settings {
    std::string failure_domain;
    retry_window_settings retries{};
    placement_settings places{};
    health_settings health{};
};

/** @brief Counts requests that began to run. */
class start_counter {
public:
    start_counter() = default;
    start_counter(const start_counter &) = delete;
    start_counter &operator=(const start_counter &) = delete;
    virtual ~start_counter() = default;

    virtual void on_start(std::string_view organisation) = 0;
};

/**
 * @brief Takes opaque requests from arrival to the final answer: route, key, place, attempts, answer. Events in, calls
 * of the ports out; used by one thread; never blocks.
 *
 * A request that may not be repeated is sent again only with evidence that it has not run. A stream that may be resumed
 * goes on at another backend server after the last event that was passed on, within the same answer.
 */
class forwarder {
public:
    /** @brief Collaborators; all must outlive the forwarder. */
    struct dependencies {
        const base::clock &time;
        metrics::registry &metrics;
        backend_port &backends;
        const backend_protocol &protocol;
        start_counter &starts;
        placement::random_source random; /**< Uniform numbers in [0, 1). */
    };

    forwarder(forwarder_settings settings, dependencies with);

    /** @param received When the request was complete. */
    void on_arrival(std::shared_ptr<http::caller_port> caller, const http::request &message, base::instant received);

    void on_head(call_id call, int status, const http::field_list &fields);
    void on_data(call_id call, std::string_view part);

    /** @param answer Status and fields, and the body unless it was given to `on_data`; empty unless complete. */
    void on_end(call_id call, call_end how, const http::response &answer);

    void on_config(traffic_config_ptr config);
    void on_backends(const std::vector<backend_server> &all);

    /** @brief Sets the number of gateways that share the traffic. */
    void set_gateways(std::uint32_t n);

    /** @brief Changes the limits on retries. */
    void set_retries(const retry_window_settings &values) { retries_.set_limits(values); }

    /** @brief Periodic work: deadlines, waiting requests, callers that have gone. Call it every 25 ms or so. */
    void tick();

    /** @brief Takes a step of a graceful stop. */
    void stop(forward_stop how) noexcept { stop_ = how; }

    /** @brief Breaks all open requests off; for the end of the process. */
    void abandon();

    /** @return True while requests can be served: a configuration and a backend server are known. */
    [[nodiscard]] bool ready() const noexcept { return stop_ == forward_stop::none && config_ && table_.any_live(); }

    [[nodiscard]] std::size_t active() const noexcept { return flows_.size(); }
    [[nodiscard]] std::uint64_t config_version() const noexcept { return config_ ? config_->version() : 0; }
    [[nodiscard]] const backend_table &backends() const noexcept { return table_; }

private:
    using flow_ptr = std::unique_ptr<forward_flow>;

    // Arrival
    void refuse(http::caller_port &caller, std::string_view request, int status, std::string_view code,
                std::string_view message, std::optional<base::duration> retry_after = std::nullopt);
    [[nodiscard]] std::string choose_service(const traffic_route &route);

    // Attempts
    void place(forward_flow &it);
    void wait_or_refuse(forward_flow &it, const placement_result &seen);
    void start(forward_flow &it, const placement_plan &plan);
    void send(forward_flow &it, const backend_state &target, attempt_facts facts);
    void end_attempt(forward_flow &it, attempt_outcome how);
    void release_state(forward_flow &it);
    void after_prefill(forward_flow &it, call_end how, const http::response &answer);
    void after_answer(forward_flow &it, const http::response &answer);
    void after_failure(forward_flow &it, attempt_outcome how, run_evidence seen);

    // Answers
    void deliver(forward_flow &it, const stream_event &event);
    void begin_answer(forward_flow &it);
    void complete(forward_flow &it);
    void pass_on(forward_flow &it, const answer_head &head, const std::string &body);
    void give_up(forward_flow &it, std::string_view code);
    void finish(forward_flow &it, int status, std::string_view code);
    [[nodiscard]] http::field_list with_close(http::field_list fields) const;
    [[nodiscard]] base::duration retry_after(base::duration free_in);

    // Periodic work
    void check(forward_flow &it, base::instant now);
    void pump();
    [[nodiscard]] forward_flow *find_call(call_id call);

    const forwarder_settings settings_;
    dependencies with_;
    backend_table table_;
    placement placement_;
    retry_window retries_;
    traffic_config_ptr config_;
    std::map<std::uint64_t, flow_ptr> flows_;
    std::unordered_map<call_id, std::uint64_t> calls_;
    std::uint64_t next_flow_{1};
    call_id next_call_{1};
    base::instant next_second_{};
    forward_stop stop_{forward_stop::none};
};

} // namespace dotterelstack::gateway
