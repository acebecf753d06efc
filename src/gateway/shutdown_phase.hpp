#pragma once

#include <cstdint>

namespace dotterelstack::gateway {

/** @brief Phases of a graceful shutdown. */
enum class shutdown_phase : std::uint8_t {
    none,
    closing, /**< Requests are served; the gateway reports that it is not ready. */
    refusing /**< New requests are refused; those in progress are finished. */
};

} // namespace dotterelstack::gateway
