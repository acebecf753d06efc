#pragma once

#include <cstdint>

namespace dotterelstack::gateway {

/** @brief Steps of a graceful stop. */
enum class shutdown_phase : std::uint8_t {
    none,
    closing, /**< Requests are served, and callers are asked to close their connections. */
    refusing /**< New requests are refused; open ones are finished. */
};

} // namespace dotterelstack::gateway
