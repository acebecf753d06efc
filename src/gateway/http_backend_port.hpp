#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/byte_budget.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/backend_protocol.hpp"
#include "gateway/events.hpp"
#include "http/async_client.hpp"
#include "http/pooled_client.hpp"

namespace dotterelstack::gateway {

/**
 * @brief `backend_port` over HTTP/1.1; results are pushed to the event ring. Connections are kept to the servers that
 * `set_servers` names; calls to others use a new one each.
 */
class http_backend_port final : public backend_port {
public:
    /**
     * @param client For calls that use a new connection each.
     * @param kept For calls to servers to which connections may be kept.
     * @param budget Of the bytes of answers that are collected whole; must outlive this object.
     */
    http_backend_port(http::async_client &client, http::pooled_client &kept, const backend_protocol &protocol,
                      event_ring &events, base::duration connect_timeout, base::byte_budget &budget);

    void send(call_id call, std::string_view address, http::request message, base::duration timeout) override;
    void cancel(call_id call) override;
    void post(std::string_view address, http::request message) override;
    void set_servers(std::span<const http::pooled_server> all) override;

private:
    struct transfer {
        bool kept{false}; /**< Sent by `kept_`. */
        std::uint64_t id{0};
    };

    [[nodiscard]] http::async_handlers handlers_of(call_id call);

    http::async_client &client_;
    http::pooled_client &kept_;
    const backend_protocol &protocol_;
    event_ring &events_;
    const base::duration connect_timeout_;
    base::byte_budget &budget_;
    std::mutex mutex_;
    std::map<call_id, transfer> transfers_;
    std::set<std::string, std::less<>> kept_addresses_;
};

} // namespace dotterelstack::gateway
