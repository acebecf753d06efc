#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/** @brief Phase of a generation that a backend server is set up for. */
enum class engine_stage : std::uint8_t {
    none,    /**< A plain service. */
    prefill, /**< Reads prompts; the generation goes on at a decode engine. */
    decode
};
inline constexpr std::size_t engine_stages = 3;

/** @brief What service discovery tells about one backend server. */
struct backend_server {
    std::string id;                        /**< Of one incarnation, as a rule; see `incarnation_start_ms`. */
    std::uint64_t incarnation_start_ms{0}; /**< Start of the incarnation in ms since 1970; 0 when not told. */
    std::uint64_t sequence{0};             /**< Number of its report within the incarnation. */
    std::string service;
    std::string address;
    std::string failure_domain;
    std::uint32_t slots{1};
    engine_stage stage{engine_stage::none};
    bool draining{false};
    base::duration warmup_remaining{0}; /**< How much longer it is slow after its start. */

    [[nodiscard]] bool operator==(const backend_server &) const = default;
};

} // namespace dotterelstack::gateway
