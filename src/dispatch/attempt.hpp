#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelstack::dispatch {

/** @brief How an attempt at a backend server ended. */
enum class attempt_outcome : std::uint8_t {
    answered,     /**< A complete answer other than a server error. */
    server_error, /**< A complete answer with status 5xx that the backend server itself produced. */
    full,         /**< Rejected before it ran. */
    misdirected,  /**< Another incarnation, or something else, now uses the address. */
    unreachable,  /**< No connection could be opened. */
    broken,       /**< The connection was lost, or the answer was not authentic. */
    silent,       /**< No answer in time. */
    cancelled     /**< Ended by this process; says nothing about the backend server's health. */
};

/** @return The name written to logs. */
[[nodiscard]] std::string_view to_string(attempt_outcome how) noexcept;

} // namespace dotterelstack::dispatch
