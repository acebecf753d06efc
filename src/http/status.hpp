#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

namespace dotterelstack::http {

/** @brief Smaller statuses announce an answer that is yet to come. */
constexpr int first_final_status = 200;

/** @return The status that a text states, or nothing if it is not one of RFC 9110: three digits from 100 to 599. */
[[nodiscard]] constexpr std::optional<int> to_status(std::string_view text) noexcept {
    constexpr std::size_t digits = 3;
    constexpr auto is_digit = [](char it) { return it >= '0' && it <= '9'; };
    if (text.size() != digits || !std::ranges::all_of(text, is_digit) || text[0] < '1' || text[0] > '5') {
        return std::nullopt;
    }
    return (text[0] - '0') * 100 + (text[1] - '0') * 10 + (text[2] - '0');
}

} // namespace dotterelstack::http
