#pragma once

#include <map>
#include <mutex>

#include "base/byte_budget.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/events.hpp"
#include "http/async_client.hpp"

namespace dotterelstack::gateway {

/** @brief `backend_port` over HTTP/1.1, with a new connection for each call; results are pushed to the event ring. */
class http_backend_port final : public backend_port {
public:
    /** @param budget Of the bytes of answers that are collected whole; must outlive this object. */
    http_backend_port(http::async_client &client, event_ring &events, base::duration connect_timeout,
                      base::byte_budget &budget);

    void send(call_id call, std::string_view address, http::request message, base::duration timeout) override;
    void cancel(call_id call) override;
    void post(std::string_view address, http::request message) override;

private:
    http::async_client &client_;
    event_ring &events_;
    const base::duration connect_timeout_;
    base::byte_budget &budget_;
    std::mutex mutex_;
    std::map<call_id, std::uint64_t> transfers_;
};

} // namespace dotterelstack::gateway
