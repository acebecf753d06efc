#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/fair_shares.hpp"
#include "base/clock.hpp"
#include "dispatch/engine.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/backend_protocol.hpp"
#include "gateway/backend_table.hpp"
#include "gateway/connection_limits.hpp"
#include "gateway/crash_quarantine.hpp"
#include "gateway/opaque_exchange.hpp"
#include "gateway/placement.hpp"
#include "gateway/quota_client.hpp"
#include "gateway/quota_port.hpp"
#include "gateway/shutdown_phase.hpp"
#include "gateway/start_counter.hpp"
#include "gateway/traffic_config.hpp"
#include "http/caller_port.hpp"
#include "limits/quota_ledger.hpp"
#include "metrics/registry.hpp"
#include "retry/retry_policy.hpp"
#include "retry/retry_window.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `forwarder`. */
struct forwarder_settings {
    std::string failure_domain;
    retry::retry_window_settings retries{};
    placement_settings places{};
    quarantine_settings quarantine{};
    health_settings health{};
    double extra_burst{0}; /**< Units that are added to the burst of each quota. */
};

/**
 * @brief Front end for opaque requests: looks up route and organisation and passes the request to the engine.
 *
 * Driven by events, with all output through ports. Single-threaded; never blocks.
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
        /** Takes new observations about engines that have ended, for other gateways; may be empty. */
        std::function<void(crash_report)> on_crash_report{};
        /** Returns false while the configuration may be out of date; always up to date if empty. */
        std::function<bool()> config_confirmed{};
        /** Of the bytes of answers that are collected whole; there is no limit on all of them together if null. */
        base::byte_budget *budget{nullptr};
        /** Reports the use of quotas; null if each gateway spends its own part. */
        quota_port *quotas{nullptr};
        /** Takes the measured speeds of servers about once a second, for other gateways; may be empty. */
        std::function<void(speed::speed_record)> on_speeds{};
    };

    forwarder(forwarder_settings settings, dependencies deps);

    /** @param received Time at which the request was complete. */
    void on_arrival(std::shared_ptr<http::caller_port> caller, http::request message, base::instant received);

    void on_head(dispatch::call_id call, int status, const http::field_list &fields) {
        engine_.on_head(call, status, fields);
    }
    void on_data(dispatch::call_id call, std::string_view part) { engine_.on_data(call, part); }

    /** @param answer Status, fields, and the body unless passed to `on_data`; empty unless the call completed. */
    void on_end(dispatch::call_id call, dispatch::call_end how, const http::response &answer) {
        engine_.on_end(call, how, answer);
    }

    void on_config(traffic_config_ptr config);
    void on_backends(const std::vector<backend_server> &all);

    /** @brief Takes the observations of another gateway about engines that have ended; none if it has gone. */
    void on_crash_report(std::string_view gateway, const std::optional<crash_report> &report);

    /** @brief Sets the gateways that share the traffic. */
    void set_gateways(const gateway_group &all);

    /** @brief A report on the use of quotas was answered or has failed. */
    void on_quota_answer(std::uint64_t call, quota_call_end how, const std::optional<limits::quota_answer> &answer);
    /** @brief Takes what gateways have measured of the speed of servers. */
    void on_server_speeds(const server_speeds &told) { table_.on_server_speeds(told); }

    /** @brief Sets the limits on retries. */
    void set_retries(const retry::retry_window_settings &values) { budget_.set_limits(values); }

    /**
     * @brief Call it before the events of each step of the thread are handed over.
     * @param wait How long the thread meant to wait for them at most.
     * @return True after a pause of this process: what servers have sent meanwhile should be read before `tick`.
     */
    bool begin_step(base::instant now, base::duration wait);

    /** @brief Checks deadlines, waiting requests and disconnected callers. Call it about every 25 ms. */
    void tick();

    /** @brief Enters a phase of a graceful shutdown. */
    void stop(shutdown_phase how) noexcept { stop_ = how; }

    /** @brief Aborts all requests in progress, at the end of the process. */
    void abandon() {
        for (const auto &it : std::exchange(asking_, {})) {
            it.of.caller->abort();
        }
        engine_.end_all(
            {.status = 502, .code = "stopped", .message = "this gateway has stopped", .abort_connection = true});
    }

    /** @return True while requests can be served: a configuration and a backend server are known. */
    [[nodiscard]] bool ready() const noexcept {
        return stop_ == shutdown_phase::none && config_ && table_.any_accepting();
    }

    [[nodiscard]] std::size_t active() const noexcept { return engine_.size() + asking_.size(); }
    [[nodiscard]] std::uint64_t config_version() const noexcept { return config_ ? config_->version() : 0; }

private:
    void refuse(http::caller_port &caller, std::string_view request, const dispatch::refusal &why) const;
    void refuse_by_config(http::caller_port &caller, std::string_view request, const dispatch::refusal &why) const;
    void show_speeds();
    [[nodiscard]] std::string choose_service(const traffic_route &route) const;

    /** @brief A request that waits for an answer of the bank. */
    struct asking_request {
        dispatch::request_identity of;
        opaque_request what;
        std::uint64_t after_call{0}; /**< Later reports to the bank contain what the request needs. */
        base::instant until{};
    };

    void check_quota(dispatch::request_identity of, opaque_request what);
    void add(dispatch::request_identity of, opaque_request what);
    void refuse_for_quota(const dispatch::request_identity &of, const limits::quota_decision &why) const;
    void decide_asking();
    void report_quotas();

    const forwarder_settings settings_;
    dependencies deps_;
    backend_table table_;
    placement placement_;
    retry_after_scheduler retry_schedule_;
    wait_limiter waits_;
    admission_trials trials_;
    base::pause_watch pauses_;
    admission::fair_shares shares_;
    retry::retry_window budget_;
    retry::retry_policy retries_;
    crash_quarantine quarantine_;
    limits::quota_ledger quotas_;
    quota_client quota_client_;
    std::vector<asking_request> asking_;
    shutdown_phase stop_{shutdown_phase::none};
    const exchange_context context_;
    traffic_config_ptr config_;
    connection_limits connections_;
    base::instant next_second_{};
    std::set<std::string> shown_speeds_; /**< Labels of servers whose speed is among the metrics. */
    dispatch::engine engine_;
};

} // namespace dotterelstack::gateway
