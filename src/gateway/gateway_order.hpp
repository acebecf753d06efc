#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "gateway/gateway_group.hpp"
#include "gateway/prefix_cache_tracker.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Order of the gateways for a server, by rendezvous hashing, on which all of them agree without communication.
 * @param server Id of the server.
 * @return Position of this gateway, from 0; 0 while the others are not known.
 */
[[nodiscard]] inline std::uint32_t position_in_order(std::string_view server, const gateway_group &group) {
    const auto rank_of = [key = engine_hash(server)](std::string_view gateway) {
        return rendezvous_rank(key, engine_hash(gateway));
    };
    const auto own = rank_of(group.own);
    return static_cast<std::uint32_t>(
        std::ranges::count_if(group.others, [&](const auto &it) { return rank_of(it) > own; }));
}

} // namespace dotterelstack::gateway
