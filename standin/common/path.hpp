#pragma once

#include <charconv>
#include <string>
#include <string_view>

namespace dotterelstack::standin {

/** @return A path with `%XX` sequences decoded; unlike in a query, `+` stays as it is. */
[[nodiscard]] inline std::string decode_path(std::string_view path) {
    std::string out;
    for (std::size_t it = 0; it < path.size(); ++it) {
        unsigned char byte = 0;
        const auto *digits = path.data() + it + 1;
        const bool escaped =
            path[it] == '%' && it + 2 < path.size() && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        out.push_back(escaped ? static_cast<char>(byte) : path[it]);
        it += escaped ? 2U : 0U;
    }
    return out;
}

} // namespace dotterelstack::standin
