#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "claim/claim_registry.hpp"
#include "config/config_state.hpp"
#include "dispatch/engine.hpp"
#include "entry/agent_exchange.hpp"
#include "entry/caller_request.hpp"
#include "entry/freshness.hpp"
#include "entry/ports.hpp"
#include "limits/admission.hpp"
#include "metrics/registry.hpp"
#include "retry/retry_budget.hpp"
#include "retry/retry_policy.hpp"
#include "routing/router.hpp"

namespace dotterelstack::entry {

/** @brief Organisation under which requests on public routes without a key are counted and limited. */
inline constexpr std::string_view public_organisation = "public";

/** @brief Settings of the dispatcher. */
struct dispatcher_settings {
    std::string failure_domain;
    base::duration request_deadline{std::chrono::minutes{10}};
    base::duration key_check_interval{std::chrono::seconds{1}};
    base::duration isolation_limit{std::chrono::seconds{5}};
    base::duration probe_timeout{std::chrono::seconds{2}}; /**< Longest wait for the outcome of `POST /cancel`. */
};

/** @brief Facts about one backend server from its agent's status. */
struct backend_status {
    routing::backend_facts facts;
    routing::load_report report;
    bool has_report{false};
    std::string host;
    std::uint64_t active{0}; /**< Requests of all entries that the agent has handed over and that have not ended. */
};

/**
 * @brief Front end for completions and calls of plain services. Checks key, limits and claim before the engine starts
 * a request, and records usage before the response is completed. Receives events and calls the ports in return; used by
 * one thread; never blocks.
 */
class dispatcher {
public:
    /** @brief Collaborators; all must outlive the dispatcher. */
    struct dependencies {
        const base::clock &time;
        base::id_source &ids;
        metrics::registry &metrics;
        agent_port &agents;
        claim_port &claims;
        usage_port &usage;
        routing::random_source random;
    };

    dispatcher(dispatcher_settings settings, dependencies with);

    /** @brief Handles the arrival of a well-formed request. */
    void on_arrival(std::shared_ptr<caller_port> caller, caller_request request);

    void on_head(call_id call, int status, const http::field_list &fields) { engine_.on_head(call, status, fields); }
    void on_data(call_id call, std::string_view part) { engine_.on_data(call, part); }
    void on_end(call_id call, call_end how) { engine_.on_end(call, how); }

    /** @param outcome Outcome reported by the agent; empty if there was none. */
    void on_cancel_outcome(std::string_view request, std::string_view outcome);
    void on_claim(const claim::claim_decision &decision);
    void on_usage_held(std::string_view request);

    /** @brief Applies a newer configuration to limits and keys at once; ignores an older one. */
    void on_config(config::state_ptr state);

    /** @brief Withdraws keys that a peer has reported as withdrawn, before the configuration says so. */
    void on_keys_withdrawn(const std::vector<std::string> &hashes);

    /** @brief Replaces the set of known backend servers; others are removed. */
    void on_backends(const std::vector<backend_status> &all);

    /** @brief Sets the share of a row's limits that this entry may use. */
    void on_share(std::string_view organisation, std::string_view service, const limits::row_share &share);

    /** @brief Periodic work: deadlines, disconnected callers, withdrawn keys. Call about every 50 ms. */
    void tick();

    /** @brief Refuses new requests from now on. */
    void stop_accepting() noexcept { stopping_ = true; }

    /** @brief Ends the running requests, for a stop whose deadline has passed; complete answers are left to go out. */
    void end_all();

    /** @return True while new requests are accepted: configured, not isolated, not stopping. */
    [[nodiscard]] bool accepts() const noexcept { return !stopping_ && config_ && freshness_.serves(); }

    [[nodiscard]] freshness_guard &freshness() noexcept { return freshness_; }
    [[nodiscard]] std::size_t active() const noexcept { return engine_.size(); }
    [[nodiscard]] std::uint64_t config_version() const noexcept { return config_ ? config_->version() : 0; }

    /** @return Ids of the keys that peers have reported as withdrawn. */
    [[nodiscard]] std::vector<std::string> withdrawn_key_ids() const;

    [[nodiscard]] const limits::admission &admission() const noexcept { return admission_; }

    /** @return Load of each row that has requests here. */
    [[nodiscard]] std::map<config::row_name, limits::row_status> active_rows() const;

private:
    /** @brief Adapts `agent_port` to the engine's `call_port`. */
    class agent_calls final : public dispatch::call_port {
    public:
        explicit agent_calls(agent_port &agents) : agents_{agents} {}

        void send(call_id call, std::string_view address, http::request message, base::duration /*timeout*/) override {
            agents_.run(call, address, std::move(message));
        }
        void cancel(call_id call) override { agents_.reset(call); }

    private:
        agent_port &agents_;
    };

    [[nodiscard]] const config::service *find_service(const caller_request &request) const;
    [[nodiscard]] bool is_public(const config::service &service, const caller_request &request) const;
    [[nodiscard]] bool key_valid(std::string_view hash) const;
    void refuse(caller_port &caller, const dispatch::refusal &answer, std::string_view service);
    void submit(std::unique_ptr<agent_exchange> request);
    void admitted(const indexed_exchange &it);
    void check_keys(base::instant now);
    [[nodiscard]] const indexed_exchange *find(std::string_view id) const;

    const dispatcher_settings settings_;
    dependencies deps_;
    limits::admission admission_;
    routing::router router_;
    retry::retry_budget budget_;
    retry::retry_policy retries_;
    freshness_guard freshness_;
    agent_calls calls_;
    exchange_index index_;
    const exchange_context exchange_context_;
    base::instant next_prune_{};
    config::state_ptr config_;
    std::set<std::string, std::less<>> withdrawn_;
    std::set<std::string, std::less<>> known_backends_;
    base::instant next_key_check_{};
    std::optional<base::instant> isolated_since_; /**< Since when requests are refused. */
    bool stopping_{false};
    dispatch::engine engine_;
};

} // namespace dotterelstack::entry
