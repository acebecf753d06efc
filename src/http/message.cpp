#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace dotterelstack::http {

namespace internal {

bool equal_no_case(std::string_view a, std::string_view b) noexcept {
    return std::ranges::equal(a, b,
                              [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

int hex_value(char c) noexcept {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t it = 0; it < text.size(); ++it) {
        const bool escaped = text[it] == '%' && it + 2 < text.size();
        if (escaped && hex_value(text[it + 1]) >= 0 && hex_value(text[it + 2]) >= 0) {
            out.push_back(static_cast<char>(hex_value(text[it + 1]) * 16 + hex_value(text[it + 2])));
            it += 2;
        } else {
            out.push_back(text[it] == '+' ? ' ' : text[it]);
        }
    }
    return out;
}

} // namespace internal

std::optional<std::string_view> find_field(const field_list &fields, std::string_view name) noexcept {
    for (const auto &it : fields) {
        if (internal::equal_no_case(it.name, name)) {
            return it.value;
        }
    }
    return std::nullopt;
}

std::string_view request::path() const noexcept {
    return std::string_view{target}.substr(0, target.find('?'));
}

std::vector<std::pair<std::string, std::string>> request::query() const {
    std::vector<std::pair<std::string, std::string>> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return out;
    }
    std::string_view rest = std::string_view{target}.substr(mark + 1);
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(part.size() + 1, rest.size()));
        const auto equals = part.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view{} : part.substr(equals + 1);
        out.emplace_back(internal::percent_decode(part.substr(0, equals)), internal::percent_decode(value));
    }
    return out;
}

std::optional<std::string> request::query_value(std::string_view name) const {
    for (auto &[key, value] : query()) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace dotterelstack::http
