#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelstack::dispatch {

/** @brief How an attempt at a backend server ended. */
enum class attempt_outcome : std::uint8_t {
    answered,     /**< A whole answer that is no server error. */
    server_error, /**< A whole answer with status 5xx that the backend server stands for. */
    full,         /**< Rejected before it ran. */
    misdirected,  /**< Another incarnation has the address. */
    unreachable,  /**< No connection. */
    broken,       /**< The connection broke, or the answer was not genuine. */
    silent,       /**< No answer in time. */
    cancelled     /**< Ended from here; says nothing about the backend server. */
};

/** @return The name for logs. */
[[nodiscard]] std::string_view to_string(attempt_outcome how) noexcept;

} // namespace dotterelstack::dispatch
