#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief Identifies one call within this process. */
using call_id = std::uint64_t;

/** @brief How a call ended. */
enum class call_end : std::uint8_t {
    complete,    /**< The whole answer has arrived. */
    not_sent,    /**< No connection was made. */
    not_started, /**< The receiver states that it has not started the request. */
    broken,      /**< Part of the request may have been sent, and the answer is missing or incomplete. */
    cut_off,     /**< As broken, but by this process: the answer was too long, unreadable or late. */
    cancelled    /**< By this process. */
};

/** @brief Sends calls to backend servers or their agents. Outcomes are reported to the engine as events. */
class call_port {
public:
    call_port() = default;
    call_port(const call_port &) = delete;
    call_port &operator=(const call_port &) = delete;
    virtual ~call_port() = default;

    /** @param timeout Limit for the whole call. */
    virtual void send(call_id call, std::string_view address, http::request message, base::duration timeout) = 0;

    /** @brief Cancels a call; its end event may still arrive. */
    virtual void cancel(call_id call) = 0;
};

} // namespace dotterelstack::dispatch
