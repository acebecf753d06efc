#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <type_traits>

namespace dotterelstack::base {

/** @brief Greatest nesting of a message; copying and printing a value recurse. */
inline constexpr int max_message_depth = 64;

/**
 * @brief Parses a message of another process, which may be anything.
 * @return The value; a discarded one if the text is no JSON, or is nested too deeply.
 */
[[nodiscard]] nlohmann::json parse_message(std::string_view text);

/**
 * @brief Reads a field of a message of another process.
 * @param message Value of any type.
 * @param name Name of the field.
 * @param fallback Result if the message is no object, or the field is missing, of another type or out of range.
 */
template<typename Type>
[[nodiscard]] Type field_or(const nlohmann::json &message, std::string_view name, Type fallback) {
    const auto it = message.is_object() ? message.find(name) : message.end();
    if (it == message.end()) {
        return fallback;
    }
    if constexpr (std::is_same_v<Type, bool>) {
        return it->is_boolean() ? it->template get<bool>() : fallback;
    } else if constexpr (std::is_unsigned_v<Type>) {
        const bool fits =
            it->is_number_unsigned() && it->template get<std::uint64_t>() <= std::numeric_limits<Type>::max();
        return fits ? it->template get<Type>() : fallback;
    } else {
        try {
            return it->template get<Type>();
        } catch (const nlohmann::json::exception &) {
            return fallback;
        }
    }
}

} // namespace dotterelstack::base
