#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dotterelstack::gateway {

/** @brief A gateway by the name of its host, which it keeps when it restarts. */
struct named_gateway {
    std::string name;
    std::string address; /**< For other gateways. */
};

/** @brief The live gateways of the site, as far as this one knows. */
struct gateway_group {
    std::string own{};                  /**< Incarnation of this gateway. */
    std::vector<std::string> others{};  /**< Incarnations of the others. */
    bool listed{false};                 /**< False while the others are not known yet. */
    std::string own_name{};             /**< Host name of this gateway. */
    std::vector<named_gateway> named{}; /**< The live gateways by name, this one included. */
    std::size_t names{0};               /**< Number of names, also of gateways that have lived lately. */

    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(others.size()) + 1; }
};

} // namespace dotterelstack::gateway
