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
#include "claim/claim_book.hpp"
#include "config/config_state.hpp"
#include "entry/caller_request.hpp"
#include "entry/flow.hpp"
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

/** @brief Times of the dispatcher. */
struct dispatcher_settings {
    std::string failure_domain;
    base::duration request_deadline{std::chrono::minutes{10}};
    base::duration key_check_interval{std::chrono::seconds{1}};
    base::duration isolation_limit{std::chrono::seconds{5}};
    base::duration probe_timeout{std::chrono::seconds{2}}; /**< Longest wait for the answer to a cancel. */
    std::uint32_t block_tokens{1000};
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
 * @brief Takes each request from arrival to its final answer: key, limits, claim, backend server, attempts, assembly,
 * usage. Events in, calls of the ports out; used by one thread; never blocks.
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

    /** @brief A request that is well-formed has arrived. */
    void on_arrival(std::shared_ptr<caller_port> caller, caller_request request);

    void on_head(call_id call, int status, const http::field_list &fields);
    void on_data(call_id call, std::string_view part);
    void on_end(call_id call, call_end how);

    /** @param outcome Text of the agent's answer; empty when it gave none. */
    void on_cancel_outcome(std::string_view request, std::string_view outcome);
    void on_claim(const claim::claim_decision &decision);
    void on_usage_held(std::string_view request);

    /** @brief A newer configuration is in force; limits and keys follow it at once. */
    void on_config(config::state_ptr state);

    /** @brief Keys withdrawn according to a peer, ahead of the configuration. */
    void on_keys_withdrawn(const std::vector<std::string> &hashes);

    /** @brief All backend servers known now; others are removed. */
    void on_backends(const std::vector<backend_status> &all);

    /** @brief Sets the part of a row that this entry may use. */
    void on_share(std::string_view organisation, std::string_view service, const limits::row_share &share);

    /** @brief Periodic work: deadlines, callers that have gone, withdrawn keys. Call every 50 ms or so. */
    void tick();

    /** @brief Refuses new requests from now on. */
    void stop_accepting() noexcept { stopping_ = true; }

    /** @return True while new requests are accepted: configured, not isolated, not stopping. */
    [[nodiscard]] bool accepts() const noexcept { return !stopping_ && config_ && freshness_.serves(); }

    [[nodiscard]] freshness_guard &freshness() noexcept { return freshness_; }
    [[nodiscard]] std::size_t active() const noexcept { return flows_.size(); }
    [[nodiscard]] std::uint64_t config_version() const noexcept { return config_ ? config_->version() : 0; }

    /** @return Ids of the keys that peers have reported as withdrawn. */
    [[nodiscard]] std::vector<std::string> withdrawn_key_ids() const;

    [[nodiscard]] const limits::admission &admission() const noexcept { return admission_; }

    /** @return Load of each row that has requests here. */
    [[nodiscard]] std::map<config::row_name, limits::row_status> active_rows() const;

private:
    struct identity {
        std::string organisation;
        std::string key_hash;
    };

    // Arrival
    [[nodiscard]] const config::service *find_service(const caller_request &request) const;
    [[nodiscard]] bool is_public(const config::service &service, const caller_request &request) const;
    [[nodiscard]] bool key_valid(std::string_view hash) const;
    void refuse(caller_port &caller, const refusal_answer &answer, std::string_view service);
    void submit(const std::shared_ptr<flow> &it);
    void admitted(flow &it);

    // Attempts
    void start_attempt(flow &it);
    [[nodiscard]] routing::route_request route_of(const flow &it) const;
    [[nodiscard]] http::request run_message(const flow &it) const;
    void take_line(flow &it, std::string_view line);
    void deliver(flow &it, const answer::chunk &part);
    void after_failure(flow &it, call_end how);
    void after_call(flow &it);
    void probe(flow &it);
    void retry_or_give_up(flow &it, retry::evidence_kind seen);
    /** @return True while an attempt may be at a backend server; a call is then left to finish. */
    [[nodiscard]] static bool handed_over(const flow &it) noexcept;
    [[nodiscard]] static ran_claim claim_of(const flow &it) noexcept;
    void end_attempt(flow &it, routing::outcome how);

    // Ends
    void complete(flow &it);
    void release_answer(flow &it);
    void give_up(flow &it, refusal_answer answer);
    void erase(const std::string &id);
    [[nodiscard]] flow *find_call(call_id call);
    [[nodiscard]] flow *find_flow(std::string_view id);

    const dispatcher_settings settings_;
    dependencies with_;
    limits::admission admission_;
    routing::router router_;
    retry::retry_budget budget_;
    retry::retry_policy retries_;
    freshness_guard freshness_;
    base::instant next_prune_{};
    config::state_ptr config_;
    std::set<std::string, std::less<>> withdrawn_;
    std::map<std::string, std::shared_ptr<flow>, std::less<>> flows_;
    std::map<call_id, std::string> calls_;
    std::set<std::string, std::less<>> known_backends_;
    std::map<std::string, base::instant, std::less<>> probes_;
    call_id next_call_{1};
    base::instant next_key_check_{};
    std::optional<base::instant> isolated_since_; /**< Since when requests are refused. */
    bool stopping_{false};
};

} // namespace dotterelstack::entry
