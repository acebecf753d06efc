#pragma once

#include <string>

#include "dispatch/call_port.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief Events of calls, as they pass a ring on their way to the engine. */
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
    http::response answer; /**< Unless it was given by the events before. */
};

} // namespace dotterelstack::dispatch
