#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief Number of one call, unique in this process. */
using call_id = std::uint64_t;

/** @brief How a call ended. */
enum class call_end : std::uint8_t {
    complete,    /**< The whole answer has arrived. */
    not_sent,    /**< No connection was made. */
    not_started, /**< The receiver says that it has not begun. */
    broken,      /**< Part of the request may have been sent, and the answer is missing or incomplete. */
    cancelled    /**< From here. */
};

/** @brief The way to backend servers or their agents. Outcomes come back as events of the engine. */
class call_port {
public:
    call_port() = default;
    call_port(const call_port &) = delete;
    call_port &operator=(const call_port &) = delete;
    virtual ~call_port() = default;

    /** @param timeout Of the whole call. */
    virtual void send(call_id call, std::string_view address, http::request message, base::duration timeout) = 0;

    /** @brief Ends a call; its end may still follow as an event. */
    virtual void cancel(call_id call) = 0;
};

} // namespace dotterelstack::dispatch
