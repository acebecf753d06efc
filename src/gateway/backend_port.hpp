#pragma once

#include <span>
#include <string_view>

#include "dispatch/call_port.hpp"
#include "http/connection_pool.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

using dispatch::call_end;
using dispatch::call_id;

/**
 * @brief Sends calls to backend servers. Results arrive as events of the forwarder: for status 200 the head, then parts
 * of the body, then the end; for any other status only the end, which carries the whole answer.
 */
class backend_port : public dispatch::call_port {
public:
    /** @brief Sends a message and ignores its answer. */
    virtual void post(std::string_view address, http::request message) = 0;

    /** @brief Replaces the servers to which connections may be kept. */
    virtual void set_servers(std::span<const http::pooled_server> all) = 0;
};

} // namespace dotterelstack::gateway
