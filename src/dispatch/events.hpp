#pragma once

#include <string>

#include "dispatch/call_port.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief Events of calls, queued in a ring buffer for the engine. */
struct head_event {
    call_id call{0};
    int status{0};
    http::field_list fields;
};
struct data_event {
    call_id call{0};
    std::string part;
};
struct end_event {
    call_id call{0};
    call_end how{call_end::broken};
    http::response answer; /**< Empty if earlier events carried it. */
};

} // namespace dotterelstack::dispatch
