#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "config/config_state.hpp"
#include "config/repository.hpp"
#include "entry/fleet_feed.hpp"
#include "entry/lease_timings.hpp"
#include "http/client.hpp"
#include "lease/lease_thread.hpp"
#include "order/order_journal.hpp"
#include "order/order_sender.hpp"
#include "store/object_store.hpp"
#include "transport/h2_call_client.hpp"

namespace dotterelstack::entry {

/** @brief What the planner needs to know about one backend server named by a planned change. */
struct planned_backend {
    std::string name;
    std::string host;
    std::string agent_address;
    std::string failure_domain;
    bool seen{false};        /**< Reported by an agent. */
    std::uint64_t active{0}; /**< Running requests that its agent has handed over. */
};

/** @brief What to do next for one planned change. */
enum class plan_step {
    record_running,  /**< Record that the change has begun. */
    wait_for_config, /**< Entries may still send new work. */
    wait_for_work,   /**< Requests are still running. */
    order,           /**< Drained; issue the order. */
    finish           /**< Record that the change is done. */
};

/** @brief Progress of one planned change, kept in memory by the planner. */
struct plan_progress {
    base::instant first_seen{}; /**< When this planner first saw the change in force. */
    unsigned idle_rounds{0};    /**< Consecutive rounds without running requests. */
    bool order_done{false};
    bool order_failed{false};
};

/**
 * @brief Decides the next step of a planned change: drain, issue the order, record the result.
 * @param change The change.
 * @param backends Backend servers that the change applies to.
 * @param config_propagated True if every live entry has the configuration that contains the change, or refuses requests
 * because it cannot confirm its own.
 * @param progress Updated with the number of idle rounds.
 */
[[nodiscard]] plan_step next_plan_step(const config::planned_change &change,
                                       const std::vector<planned_backend> &backends, bool config_propagated,
                                       plan_progress &progress) noexcept;

/** @brief Executes planned changes while this entry holds the lease `planner`. Two threads: lease and worker. */
class planner_task {
public:
    struct options {
        std::string platform; /**< Address of the platform, which accepts orders. */
        lease::lease_settings lease;
        base::duration propagation_limit{std::chrono::seconds{6}}; /**< Then entries without it refuse requests. */
    };

    planner_task(options values, const base::clock &time, base::id_source &ids, store::object_store &store,
                 http::client &platform, transport::h2_client &agents, fleet_feed &fleet,
                 lease::lease_thread::candidate_check candidate);
    planner_task(const planner_task &) = delete;
    planner_task &operator=(const planner_task &) = delete;
    planner_task(planner_task &&) = delete;
    planner_task &operator=(planner_task &&) = delete;
    ~planner_task();

    void start();

    /** @brief Stops the worker thread, then releases the lease. */
    void stop();

    void set_config(config::state_ptr state);

private:
    struct open_order {
        std::unique_ptr<order::order_sender> sender;
        order::order_journal journal;
        bool begun{false};
    };

    void run(const std::stop_token &token);
    void execute(const config::planned_change &change, const config::state_ptr &state);
    void place_order(const config::planned_change &change, const planned_backend &backend, plan_progress &progress);
    void record(const config::planned_change &change, config::planned_state to, std::string progress);
    [[nodiscard]] std::vector<planned_backend> backends_of(const config::planned_change &change) const;
    [[nodiscard]] bool config_propagated(const config::state_ptr &state, const plan_progress &progress);

    const options options_;
    const base::clock &clock_;
    base::id_source &ids_;
    store::object_store &store_;
    http::client &platform_;
    transport::h2_call_client agents_;
    fleet_feed &fleet_;
    lease::lease_thread lease_;
    config::repository repository_;
    std::mutex mutex_;
    config::state_ptr config_;
    std::map<std::string, plan_progress, std::less<>> progress_; /**< By change id. */
    std::map<std::string, open_order, std::less<>> orders_;      /**< By change id and backend server. */
    std::jthread thread_;
};

} // namespace dotterelstack::entry
