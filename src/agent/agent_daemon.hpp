#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "agent/load_poller.hpp"
#include "agent/options.hpp"
#include "agent/request_table.hpp"
#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/async_client.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_server.hpp"

namespace dotterelstack::agent {

/** @brief Answers `POST /order`; blocks while the order is carried out. */
class order_handler {
public:
    order_handler() = default;
    order_handler(const order_handler &) = delete;
    order_handler &operator=(const order_handler &) = delete;
    virtual ~order_handler() = default;

    /** @return Response for the entry that gave the order. */
    [[nodiscard]] virtual http::response handle(const http::request &order) = 0;
};

/**
 * @brief The sidecar of the backend servers on one host: takes requests from entries over HTTP/2 and relays them.
 *
 * Threads: the event loop (streams of entries), the transfer thread (streams of backend servers), the poller (load
 * reports, abandoned requests), and one for orders.
 */
class agent_daemon {
public:
    /** @param incarnation Random id of this start. */
    agent_daemon(agent_options options, const base::clock &time, std::string incarnation, http::client &client,
                 order_handler &orders);
    agent_daemon(const agent_daemon &) = delete;
    agent_daemon &operator=(const agent_daemon &) = delete;
    agent_daemon(agent_daemon &&) = delete;
    agent_daemon &operator=(agent_daemon &&) = delete;
    ~agent_daemon();

    /** @return The bound address. */
    [[nodiscard]] base::result<std::string> start();

    /** @brief Refuses new work; returns when the running requests have ended. */
    void drain_and_stop();

    /** @return Number of requests that are running. */
    [[nodiscard]] std::size_t running() const;

private:
    struct active_request;
    class order_worker;

    void route(const transport::h2_stream &stream);
    void run(const transport::h2_stream &stream);
    void start_completion(const std::shared_ptr<active_request> &it);
    void start_call(const std::shared_ptr<active_request> &it);
    void end(const std::shared_ptr<active_request> &it);
    void cancel(const transport::h2_stream &stream);
    [[nodiscard]] http::response status() const;
    [[nodiscard]] const backend_options *find_backend(std::string_view name) const noexcept;
    [[nodiscard]] std::size_t active_at(std::string_view backend) const;
    void drop_abandoned();

    const agent_options options_;
    const base::clock &clock_;
    http::client &client_;
    mutable std::mutex mutex_;
    request_table table_;
    std::map<std::string, std::shared_ptr<active_request>> active_;
    load_poller poller_;
    std::unique_ptr<order_worker> orders_;
    http::async_client transfers_;
    transport::event_loop loop_;
    transport::h2_server server_;
};

} // namespace dotterelstack::agent
