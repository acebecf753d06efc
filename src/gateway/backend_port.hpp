#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

/** @brief Number of one call to a backend server, unique in this process. */
using call_id = std::uint64_t;

/** @brief How a call to a backend server ended. */
enum class call_end : std::uint8_t {
    complete, /**< The whole answer has arrived. */
    not_sent, /**< No connection was made. */
    broken,   /**< Part of the request may have been sent, and the answer is missing or incomplete. */
    cancelled /**< At the gateway's wish. */
};

/**
 * @brief The way to backend servers. Outcomes come back as events of the forwarder: the head and parts of answers with
 * status 200, then the end, which carries every other answer whole.
 */
class backend_port {
public:
    backend_port() = default;
    backend_port(const backend_port &) = delete;
    backend_port &operator=(const backend_port &) = delete;
    virtual ~backend_port() = default;

    /** @param timeout Of the whole call. */
    virtual void send(call_id call, std::string_view address, http::request message, base::duration timeout) = 0;

    /** @brief Closes the connection of a call; its end still follows. */
    virtual void cancel(call_id call) = 0;

    /** @brief Sends a message whose answer is of no interest. */
    virtual void post(std::string_view address, http::request message) = 0;
};

} // namespace dotterelstack::gateway
