#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::routing {

/** @brief What an engine is set up for; `plain` is an instance of a plain service. */
enum class backend_role : std::uint8_t {
    mixed,
    prefill,
    decode,
    plain
};

/** @param role A role. @return Its name in messages and orders. */
[[nodiscard]] constexpr std::string_view to_string(backend_role role) noexcept {
    constexpr std::string_view names[]{"mixed", "prefill", "decode", "plain"};
    return names[static_cast<std::size_t>(role)];
}

/** @brief Properties of one runner that an entry knows from membership and the agent's status. */
struct backend_facts {
    std::string name{};
    std::string agent_address{}; /**< `IP:port` of the agent in front of the runner. */
    std::string incarnation{};   /**< Of the agent; a new one means that all in-flight work is gone. */
    std::string failure_domain{};
    std::string service{};
    std::vector<std::string> models{}; /**< Empty for a plain service. */
    backend_role role{backend_role::mixed};
    std::uint32_t total_blocks{0}; /**< Engine memory in blocks; 0 if memory is no limit. */
    std::uint32_t block_tokens{1000};
    bool healthy{true};
    bool leaving{false}; /**< Draining or withdrawn; never chosen. */
};

/** @brief Load of a runner, measured `age` before the report is applied. */
struct load_report {
    std::uint64_t seq{0};         /**< Increases within one incarnation; older reports are dropped. */
    std::uint32_t running{0};     /**< Requests of all entries in the batch. */
    std::uint32_t queued{0};      /**< Requests of all entries that wait in the runner. */
    std::uint32_t free_blocks{0}; /**< Includes blocks that hold only cached prefixes, which can be evicted. */
    base::duration age{0}; /**< Time since the load was measured, determined without comparing clocks of hosts. */
};

/** @brief How a request ended at a backend server. */
enum class outcome : std::uint8_t {
    completed,
    cancelled, /**< By the caller or the entry; says nothing about the backend server. */
    rejected,  /**< Rejected before hand-over. */
    failed     /**< Connection lost, time-out or server error. */
};

} // namespace dotterelstack::routing
