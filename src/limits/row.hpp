#pragma once

#include <string>
#include <string_view>
#include <tuple>

namespace dotterelstack::limits {

/** @brief Key of one row in the table of weights and limits: an organisation's use of a service. */
struct row_key {
    std::string_view organisation;
    std::string_view service;
};

/** @brief Transparent comparison for maps that own their keys and are searched by `row_key`. */
struct row_order {
    using is_transparent = void;
    using owned = std::pair<std::string, std::string>;

    [[nodiscard]] bool operator()(const owned &left, const owned &right) const noexcept { return left < right; }
    [[nodiscard]] bool operator()(const owned &left, row_key right) const noexcept {
        return std::pair<std::string_view, std::string_view>{left} < std::pair{right.organisation, right.service};
    }
    [[nodiscard]] bool operator()(row_key left, const owned &right) const noexcept {
        return std::pair{left.organisation, left.service} < std::pair<std::string_view, std::string_view>{right};
    }
};

} // namespace dotterelstack::limits
