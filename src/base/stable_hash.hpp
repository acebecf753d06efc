#pragma once

#include <cstdint>
#include <string_view>

namespace dotterelstack::base {

/** @brief State of FNV-1a before the first byte. */
inline constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
inline constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

/** @brief Adds one byte to FNV-1a, which is the same in every process. */
[[nodiscard]] constexpr std::uint64_t fnv1a(char byte, std::uint64_t state) noexcept {
    return (state ^ static_cast<unsigned char>(byte)) * fnv_prime;
}

/** @brief FNV-1a of a text. Similar texts have similar high bits; mix the result where that matters. */
[[nodiscard]] constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t state = fnv_offset) noexcept {
    for (const char it : text) {
        state = fnv1a(it, state);
    }
    return state;
}

} // namespace dotterelstack::base
