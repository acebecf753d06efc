#include "entry/key_scrubber.hpp"

#include <vector>

#include "config/key_text.hpp"

namespace dotterelstack::entry {

namespace internal {

// Shorter keys would match ordinary text by chance.
constexpr std::size_t min_key_bytes = 8;

int hex_digit(char c) noexcept {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/** Decodes percent encoding and JSON's `\uXXXX` for ASCII, so that encoded keys are found, too. */
std::string decode_escapes(std::string_view text) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t it = 0; it < text.size(); ++it) {
        if (text[it] == '%' && it + 2 < text.size() && hex_digit(text[it + 1]) >= 0 && hex_digit(text[it + 2]) >= 0) {
            out.push_back(static_cast<char>(hex_digit(text[it + 1]) * 16 + hex_digit(text[it + 2])));
            it += 2;
        } else if (text.substr(it).starts_with("\\u00") && it + 5 < text.size() && hex_digit(text[it + 4]) >= 0 &&
                   hex_digit(text[it + 5]) >= 0) {
            out.push_back(static_cast<char>(hex_digit(text[it + 4]) * 16 + hex_digit(text[it + 5])));
            it += 5;
        } else {
            out.push_back(text[it]);
        }
    }
    return out;
}

bool contains_key(std::string_view text, std::string_view key) {
    const auto found = [key](std::string_view it) {
        return (key.size() >= min_key_bytes && it.find(key) != std::string_view::npos) ||
               it.find(config::key_prefix) != std::string_view::npos;
    };
    return found(text) || found(decode_escapes(text));
}

std::string remove_keys(std::string_view query, std::string_view key) {
    std::string out;
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
        if (!contains_key(part, key)) {
            out += (out.empty() ? "" : "&") + std::string{part};
        }
    }
    return out;
}

} // namespace internal

scrub_outcome scrub_keys(caller_request &it) {
    const auto query_start = it.path.find('?');
    const std::string path = it.path.substr(0, query_start);
    if (internal::contains_key(path, it.key) || internal::contains_key(it.content_type, it.key) ||
        internal::contains_key(it.body, it.key)) {
        return scrub_outcome::refused;
    }
    if (query_start == std::string::npos) {
        return scrub_outcome::clean;
    }
    const auto query = it.path.substr(query_start + 1);
    const auto remaining = internal::remove_keys(query, it.key);
    if (remaining == query) {
        return scrub_outcome::clean;
    }
    it.path = remaining.empty() ? path : path + "?" + remaining;
    return scrub_outcome::removed;
}

} // namespace dotterelstack::entry
