#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "http/client.hpp"

namespace dotterelstack::gateway {

/** @brief Path at which a gateway serves its traffic configuration to peers. */
inline constexpr std::string_view traffic_config_path = "/traffic-config";

/** @brief Path at which a gateway serves its discovery entries to peers. */
inline constexpr std::string_view servers_path = "/servers";

/** @brief Path at which a gateway serves its member record to peers. */
inline constexpr std::string_view member_path = "/member";

/**
 * @brief Queries another gateway. Blocks for 300 ms, and longer only while enough of a response keeps coming.
 * @return The response, whatever its status.
 */
[[nodiscard]] base::result<http::response> query_peer(http::client &client, std::string_view address,
                                                      std::string target);

/** @brief As `query_peer`. @return Body of a response with status 200, or nothing. */
[[nodiscard]] std::optional<std::string> ask_peer(http::client &client, std::string_view address, std::string target);

} // namespace dotterelstack::gateway
