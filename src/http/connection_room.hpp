#pragma once

#include <algorithm>
#include <cstddef>

namespace dotterelstack::http {

/** @brief Bytes of a connection for its head, the part of a body just received and the head of the answer. Heads may
 * have 16 KiB; libmicrohttpd needs the rest for its table of the fields. */
inline constexpr std::size_t library_room_bytes = std::size_t{32} << 10U;

/** @brief What a connection may take in all: the room above and the state of the connection. */
inline constexpr std::size_t connection_room_bytes = library_room_bytes + 2048;

/** @return Number of connections that a share of the memory and of the descriptors allows, at least 8. */
[[nodiscard]] constexpr std::size_t connections_within(std::size_t bytes, std::size_t descriptors) noexcept {
    constexpr std::size_t least = 8;
    return std::max(least, std::min(bytes / connection_room_bytes, descriptors));
}

} // namespace dotterelstack::http
