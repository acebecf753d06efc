#pragma once

#include <chrono>
#include <string_view>

namespace dotterelstack::gateway {

/** @brief Path at which a gateway tells its traffic configuration. */
inline constexpr std::string_view traffic_config_path = "/traffic-config";

/** @brief Path at which a gateway tells the discovery entries that it knows. */
inline constexpr std::string_view servers_path = "/servers";

/** @brief Longest call to a peer; a silent one must not hold up the next. */
inline constexpr auto peer_timeout = std::chrono::milliseconds{300};

} // namespace dotterelstack::gateway
