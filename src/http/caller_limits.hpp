#pragma once

#include <cstddef>

#include "base/clock.hpp"

namespace dotterelstack::http {

/** @brief Limits on what callers may send, and how long they may take or stay idle; zero means none, except for bodies.
 */
struct caller_limits {
    std::size_t header_bytes{16384}; /**< Of all fields together. */
    std::size_t body_bytes{std::size_t{4} << 20U};
    base::duration header_timeout{std::chrono::seconds{60}}; /**< From the request line to the end of the head. */
    base::duration idle_timeout{std::chrono::seconds{120}};  /**< Between two requests on a connection. */
    base::duration body_pause{std::chrono::seconds{30}};     /**< In a body, between two steps of progress. */
    base::duration answer_pause{std::chrono::seconds{60}};   /**< While an answer waits for its reader. */
};

} // namespace dotterelstack::http
