#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/client.hpp"

namespace dotterelstack::gateway {

/** @brief Path at which a gateway tells its traffic configuration. */
inline constexpr std::string_view traffic_config_path = "/traffic-config";

/** @brief Path at which a gateway tells the discovery entries that it knows. */
inline constexpr std::string_view servers_path = "/servers";

/**
 * @brief Asks another gateway. Blocks for 300 ms at most.
 * @return Body of its answer, or nothing when it has none to give.
 */
[[nodiscard]] std::optional<std::string> ask_peer(http::client &client, std::string_view address, std::string target);

} // namespace dotterelstack::gateway
