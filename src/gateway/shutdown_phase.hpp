#pragma once

#include <cstdint>

namespace dotterelstack::gateway {

/** @brief Phases of a graceful shutdown. */
enum class shutdown_phase : std::uint8_t {
    none,
    closing, /**< Requests are served; responses ask callers to close their connections. */
    refusing /**< New requests are refused; those in progress are finished. */
};

} // namespace dotterelstack::gateway
