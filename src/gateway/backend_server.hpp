#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/** @brief Phase of text generation that a backend server is configured for. */
enum class engine_stage : std::uint8_t {
    none,    /**< Not an engine: a plain service. */
    prefill, /**< Prefills prompts; a decode engine then generates the tokens. */
    decode
};
inline constexpr std::size_t engine_stages = 3;

/** @brief Service discovery data of one backend server. */
struct backend_server {
    std::string id;                        /**< Usually unique to one incarnation; see `incarnation_start_ms`. */
    std::uint64_t incarnation_start_ms{0}; /**< Unix time in ms; 0 when unknown. */
    std::uint64_t sequence{0};             /**< Sequence number of the report within the incarnation. */
    std::string service;
    std::string address;
    std::string failure_domain;
    std::uint32_t slots{1};
    engine_stage stage{engine_stage::none};
    bool draining{false};
    base::duration warmup_remaining{0}; /**< Remaining time of slow operation after a start. */

    [[nodiscard]] bool operator==(const backend_server &) const = default;
};

/** @brief Identity of one incarnation, also where ids are used again. */
struct server_incarnation {
    std::string id;
    std::uint64_t start_ms{0}; /**< See `backend_server::incarnation_start_ms`. */
};

[[nodiscard]] inline server_incarnation incarnation_of(const backend_server &it) {
    return {it.id, it.incarnation_start_ms};
}

/** @return Name of an incarnation. */
[[nodiscard]] inline std::string to_string(const server_incarnation &it) {
    return it.id + "@" + std::to_string(it.start_ms);
}

} // namespace dotterelstack::gateway
