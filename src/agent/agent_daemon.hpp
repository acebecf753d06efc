#pragma once

#include <functional>
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

/** @brief Handles `POST /order`; blocks until the order has been executed. */
class order_handler {
public:
    order_handler() = default;
    order_handler(const order_handler &) = delete;
    order_handler &operator=(const order_handler &) = delete;
    virtual ~order_handler() = default;

    /** @return Response to the sender of the order. */
    [[nodiscard]] virtual http::response handle(const http::request &order) = 0;
};

/**
 * @brief Sidecar of the backend servers on one host: receives requests from entries over HTTP/2 and relays them.
 *
 * Threads: the event loop serves the streams of entries, the transfer thread those of backend servers, the poller reads
 * load reports and cancels abandoned requests, and the order worker executes orders.
 */
class agent_daemon {
public:
    /** @param incarnation Random id that tells this run of the agent from earlier ones. */
    agent_daemon(agent_options options, const base::clock &time, std::string incarnation, http::client &client,
                 order_handler &orders);
    agent_daemon(const agent_daemon &) = delete;
    agent_daemon &operator=(const agent_daemon &) = delete;
    agent_daemon(agent_daemon &&) = delete;
    agent_daemon &operator=(agent_daemon &&) = delete;
    ~agent_daemon();

    /** @return Address and port on which the agent listens. */
    [[nodiscard]] base::result<std::string> start();

    /**
     * @brief Rejects new requests; returns when the running ones have ended and their responses are delivered, or when
     * the time-out for the delivery is over. Requests that are still running at the drain deadline are given up: their
     * senders learn that it is not known whether they ran.
     */
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
    void finish_request(const std::shared_ptr<active_request> &it);
    void cancel(const transport::h2_stream &stream);
    [[nodiscard]] http::response status() const;
    [[nodiscard]] const backend_options *find_backend(std::string_view name) const noexcept;
    [[nodiscard]] std::size_t active_count(std::string_view backend) const;
    void cancel_abandoned();
    void cancel_transfers(const std::function<bool(const active_request &)> &which);
    /** @return True if no request is running any more. */
    [[nodiscard]] bool wait_for_running(base::instant until) const;

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
