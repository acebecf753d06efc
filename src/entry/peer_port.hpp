#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "http/message.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::entry {

/** @brief What this entry knows about another entry. */
struct peer_entry {
    std::string host;           /**< Empty for addresses from the settings. */
    std::string address;        /**< Address of its listener for peers. */
    std::string failure_domain; /**< Empty when unknown. */
    bool live{false};           /**< In the host list and not leaving. */
};

/** @brief Called once with the response or the error. */
using peer_answer = std::function<void(base::result<http::response>)>;

/** @brief Calls to other entries. */
class peer_port {
public:
    peer_port() = default;
    peer_port(const peer_port &) = delete;
    peer_port &operator=(const peer_port &) = delete;
    virtual ~peer_port() = default;

    /** @brief Sends a request and returns at once; `done` may be called on another thread, and must not block. */
    virtual void call(std::string_view address, http::request message, peer_answer done) = 0;
};

/** @brief `peer_port` over HTTP/2. An unresponsive peer is detected by the connection's pings. */
class h2_peer_port final : public peer_port {
public:
    explicit h2_peer_port(transport::h2_client &client) : client_{client} {}

    void call(std::string_view address, http::request message, peer_answer done) override;

private:
    transport::h2_client &client_;
};

} // namespace dotterelstack::entry
