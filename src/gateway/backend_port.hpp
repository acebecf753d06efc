#pragma once

#include <string_view>

#include "dispatch/call_port.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

using dispatch::call_end;
using dispatch::call_id;

/**
 * @brief The way to backend servers. Outcomes come back as events of the forwarder: the head and parts of answers with
 * status 200, then the end, which carries every other answer whole.
 */
class backend_port : public dispatch::call_port {
public:
    /** @brief Sends a message whose answer is of no interest. */
    virtual void post(std::string_view address, http::request message) = 0;
};

} // namespace dotterelstack::gateway
