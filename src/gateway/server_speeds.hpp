#pragma once

#include "speed/speed_record.hpp"

namespace dotterelstack::gateway {

/** @brief What the records of gateways say about the speed of servers, pooled. */
struct server_speeds {
    speed::speed_record others; /**< Without this gateway's record. */
    speed::speed_record all;    /**< With this gateway's stored record, so that all gateways have the same. */
};

} // namespace dotterelstack::gateway
