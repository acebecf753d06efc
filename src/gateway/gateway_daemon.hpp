#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "gateway/config_peer_task.hpp"
#include "gateway/config_source.hpp"
#include "gateway/connection_metrics.hpp"
#include "gateway/crash_report_task.hpp"
#include "gateway/events.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/http_backend_port.hpp"
#include "gateway/http_quota_port.hpp"
#include "gateway/jump_filter_clock.hpp"
#include "gateway/member_directory.hpp"
#include "gateway/member_task.hpp"
#include "gateway/quota_bank_service.hpp"
#include "gateway/server_source.hpp"
#include "gateway/site_codec.hpp"
#include "gateway/store_feed.hpp"
#include "gateway/usage_window_reporter.hpp"
#include "gateway/windowed_start_counter.hpp"
#include "http/async_client.hpp"
#include "http/client.hpp"
#include "http/pooled_client.hpp"
#include "http/server.hpp"
#include "lease/lease_thread.hpp"
#include "metrics/registry.hpp"
#include "settings/gateway_settings.hpp"
#include "speed/speed_board.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Addresses on which a gateway listens. */
struct gateway_addresses {
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
};

/**
 * @brief The gateway process: listeners, the forwarder's thread, store feeds and background tasks.
 *
 * Threads: four listeners (libmicrohttpd), transfers (libcurl), forwarder, configuration (one that follows the
 * store, one that asks peers), discovery, crash reports (one that reads, one that writes), membership, lease, usage.
 */
class gateway_daemon {
public:
    /** @brief Collaborators; all must outlive the daemon. */
    struct dependencies {
        const base::clock &time;
        base::id_source &ids;
        http::client &client;
        store::object_store &store;
        const backend_protocol &protocol;
        const site_codec &codec;
        usage_report_port *duties; /**< Null when the site does not report usage. */
    };

    gateway_daemon(settings::gateway_settings values, dependencies deps);
    gateway_daemon(const gateway_daemon &) = delete;
    gateway_daemon &operator=(const gateway_daemon &) = delete;
    gateway_daemon(gateway_daemon &&) = delete;
    gateway_daemon &operator=(gateway_daemon &&) = delete;
    ~gateway_daemon();

    [[nodiscard]] base::result<gateway_addresses> start();

    /** @brief Applies the settings that may change at run time: the retry limits. */
    void reload(const settings::gateway_settings &values);

    /** @brief Reports not ready, serves requests until none is left or the grace ends, then stops. Blocks. */
    void drain_and_stop();

private:
    void on_call(const http::exchange &call);
    [[nodiscard]] http::response answer_peer(const http::request &message);
    [[nodiscard]] std::optional<member_record> ask_member(std::string_view address) const;
    [[nodiscard]] std::vector<std::string> peers() const;
    void on_crash_objects(std::span<const store::watch_event> changes);
    void record_store_answer(bool answered);
    void run_forwarder();
    /** @brief Closes connections of callers that are overdue, and reports on the others. */
    void check_connections();
    void handle(gateway_event &event);
    void log_stop_step(const char *step) const;
    void stop_feeds();
    void stop_threads();

    const settings::gateway_settings settings_;
    dependencies deps_;
    const std::string incarnation_;
    metrics::registry metrics_;
    // Of messages in progress; before the servers and transfers that use them.
    base::byte_budget caller_bytes_;
    base::byte_budget server_bytes_;
    base::byte_budget peers_bytes_;
    base::byte_budget metrics_bytes_;
    base::byte_budget readiness_bytes_;
    bool caller_bytes_were_full_{false};
    event_ring events_;
    jump_filter_clock time_of_day_;
    windowed_start_counter starts_;
    http::async_client transfers_;
    http::pooled_client kept_transfers_;
    http_backend_port link_;
    quota_bank_service quota_bank_;
    http_quota_port quota_link_;
    speed::speed_board speeds_;
    forwarder forwarder_;
    config_source config_;
    config_peer_task config_peers_;
    server_source servers_;
    std::atomic<bool> store_answers_{true};
    std::unique_ptr<store_feed> config_feed_;
    std::unique_ptr<store_feed> server_feed_;
    crash_report_task crash_reports_;
    std::unique_ptr<store_feed> crash_feed_;
    member_directory directory_;
    std::unique_ptr<member_task> members_;
    std::atomic<const member_task *> published_members_{nullptr}; /**< For the peers' listener, which starts first. */
    std::unique_ptr<lease::lease_thread> lease_;
    std::unique_ptr<usage_window_reporter> duty_;
    std::unique_ptr<usage_window_reporter_thread> duty_thread_;
    http::server callers_;
    http::server readiness_;
    http::server peers_server_;
    http::server metrics_server_;
    std::thread forward_thread_;
    std::atomic<std::size_t> active_{0};
    std::atomic<bool> ready_{false};
    base::instant connections_due_{}; /**< Of the next look at the connections of callers. */
    http::closed_connections closed_; /**< As reported last. */
    connection_metrics server_connections_{metrics_};
    bool callers_have_room_{true};
    base::instant stop_limit_{}; /**< Store writes are repeated until then during a shutdown. */
    bool stopped_{false};
};

} // namespace dotterelstack::gateway
