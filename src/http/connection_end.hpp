#pragma once

#include <cstdint>

namespace dotterelstack::http {

/** @brief How a peer has ended a connection. */
enum class connection_end : std::uint8_t {
    orderly, /**< After it had received the whole request, and without an error. */
    broken   /**< In any other way: it may have given up before its answer was whole. */
};

/**
 * @brief Tells how a connection has ended. Clears the pending error of its socket.
 * @param fd Socket whose input is at its end.
 * @param request_written True if the socket has taken the whole request. A write that failed has taken the error from
 * the socket, so this is all that is left of it.
 */
[[nodiscard]] connection_end end_of_connection(int fd, bool request_written) noexcept;

} // namespace dotterelstack::http
