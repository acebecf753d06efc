#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dotterelstack::gateway {

/** @brief The live gateways of the site, as far as this one knows. */
struct gateway_group {
    std::string own{};                 /**< Incarnation of this gateway. */
    std::vector<std::string> others{}; /**< Incarnations of the others. */
    bool listed{false};                /**< False while the others are not known yet. */

    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(others.size()) + 1; }
};

} // namespace dotterelstack::gateway
