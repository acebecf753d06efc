#include "explain/log_line.hpp"

#include <algorithm>

namespace dotterelstack::explain {

namespace internal {

constexpr std::string_view event_field = " event=";

/** Removes the text up to and including the separator from the front; returns it without the separator. */
std::string_view consume_until(std::string_view &text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto out = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return out;
}

/** Removes a field value from the front: up to a space, or a quoted string with backslash escapes. */
std::string consume_value(std::string_view &text) {
    if (!text.starts_with('"')) {
        return std::string{consume_until(text, ' ')};
    }
    std::string out;
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        out.push_back(text.front());
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(2, text.size()));
    return out;
}

} // namespace internal

std::string_view log_line::value(std::string_view name) const noexcept {
    const auto it = std::ranges::find(fields, name, &std::pair<std::string, std::string>::first);
    return it == fields.end() ? std::string_view{} : std::string_view{it->second};
}

std::optional<log_line> parse_line(std::string_view text) {
    // Expected form: "I20261204 06:15:49.123456 41 event.cpp:106] E1901 event=request_placed request=a1 ..."
    const auto event_begin = text.find(internal::event_field);
    const auto prefix_end = text.find("] E");
    if (event_begin == std::string_view::npos || prefix_end == std::string_view::npos || prefix_end > event_begin) {
        return std::nullopt;
    }
    log_line out;
    auto prefix = text.substr(0, prefix_end);
    const auto date = internal::consume_until(prefix, ' ');
    out.time = std::string{date.substr(std::min<std::size_t>(1, date.size()))} + " " +
               std::string{internal::consume_until(prefix, ' ')};
    text.remove_prefix(event_begin + internal::event_field.size());
    out.event = internal::consume_until(text, ' ');
    out.details = text;
    while (!text.empty()) {
        const std::string name{internal::consume_until(text, '=')};
        out.fields.emplace_back(name, internal::consume_value(text));
    }
    return out;
}

} // namespace dotterelstack::explain
