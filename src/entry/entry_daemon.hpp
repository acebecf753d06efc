#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "entry/billing_task.hpp"
#include "entry/claim_worker.hpp"
#include "entry/config_feed.hpp"
#include "entry/dispatcher.hpp"
#include "entry/events.hpp"
#include "entry/fleet_feed.hpp"
#include "entry/h2_agent_port.hpp"
#include "entry/peer_port.hpp"
#include "entry/planner_task.hpp"
#include "entry/share_participant.hpp"
#include "entry/share_task.hpp"
#include "entry/usage_replicator.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"
#include "settings/entry_settings.hpp"
#include "store/object_store.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_client.hpp"
#include "transport/h2_server.hpp"

namespace dotterelstack::entry {

/** @brief Addresses on which an entry listens. */
struct entry_addresses {
    std::string callers;
    std::string peers;
};

/**
 * @brief The entry process: listeners, the dispatcher's thread and background tasks.
 *
 * Threads: callers (libmicrohttpd), event loop (agents and peers), dispatcher, configuration, fleet, claims, usage (2),
 * billing (2), shares (3), planner (2).
 */
class entry_daemon {
public:
    entry_daemon(settings::entry_settings values, const base::clock &time, base::id_source &ids, http::client &client,
                 store::object_store &store);
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;
    entry_daemon(entry_daemon &&) = delete;
    entry_daemon &operator=(entry_daemon &&) = delete;
    ~entry_daemon();

    [[nodiscard]] base::result<entry_addresses> start();

    /**
     * @brief Stops accepting requests, waits for running ones until the drain deadline, ends those that are left, and
     * stops all threads.
     */
    void drain_and_stop();

private:
    void on_caller_request(const http::exchange &call);
    void on_peer_request(const transport::h2_stream &stream);
    [[nodiscard]] bool is_lease_candidate() const;
    void dispatch();
    void handle(entry_event &event);
    void apply_config(const config::state_ptr &state);
    void apply_shares();
    [[nodiscard]] http::response peer_status();
    void update_status();
    [[nodiscard]] bool finish_requests(base::instant until);
    void stop_threads();

    const settings::entry_settings settings_;
    const base::clock &clock_;
    base::id_source &ids_;
    http::client &client_;
    store::object_store &store_;
    const std::string incarnation_;
    metrics::registry metrics_;
    event_ring events_;
    transport::event_loop loop_;
    transport::h2_client h2_client_;
    transport::h2_server peer_server_;
    h2_agent_port agents_;
    claim_worker claims_;
    h2_peer_port peer_calls_;
    std::unique_ptr<fleet_feed> fleet_;
    usage_replicator usage_;
    billing_task billing_;
    share_participant shares_;
    share_task share_epochs_;
    std::string peers_address_;
    std::unique_ptr<config_feed> config_;
    std::unique_ptr<planner_task> planner_;
    std::unique_ptr<dispatcher> dispatcher_;
    http::server caller_server_;
    std::thread dispatch_thread_;
    std::atomic<std::size_t> arriving_{0}; /**< Requests in the event ring, which the dispatcher doesn't count yet. */
    std::atomic<std::size_t> active_{0};
    std::atomic<bool> started_{false}; /**< All components exist; requests of peers are refused before. */
    std::atomic<bool> serving_{false}; /**< Requests are accepted; reported to the load balancer by `GET /healthz`. */
    std::mutex status_mutex_;
    std::string status_; /**< Body of `GET /status`, written by the dispatcher's thread. */
    base::instant status_due_{};
    bool stopped_{false};
};

} // namespace dotterelstack::entry
