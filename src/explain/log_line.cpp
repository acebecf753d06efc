#include "explain/log_line.hpp"

#include <algorithm>

namespace dotterelstack::explain {

namespace internal {

constexpr std::string_view event_mark = " event=";

/** Takes the text up to a separator off the front. */
std::string_view take_until(std::string_view &text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto out = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return out;
}

/** Takes a value off the front: up to a space, or a quoted one with backslash escapes. */
std::string take_value(std::string_view &text) {
    if (!text.starts_with('"')) {
        return std::string{take_until(text, ' ')};
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
    // "I20261204 06:15:49.123456 41 event.cpp:106] E1901 event=request_placed request=a1 ..."
    const auto mark = text.find(internal::event_mark);
    const auto prefix_end = text.find("] E");
    if (mark == std::string_view::npos || prefix_end == std::string_view::npos || prefix_end > mark) {
        return std::nullopt;
    }
    log_line out;
    auto prefix = text.substr(0, prefix_end);
    const auto date = internal::take_until(prefix, ' ');
    out.time = std::string{date.substr(std::min<std::size_t>(1, date.size()))} + " " +
               std::string{internal::take_until(prefix, ' ')};
    text.remove_prefix(mark + internal::event_mark.size());
    out.event = internal::take_until(text, ' ');
    out.details = text;
    while (!text.empty()) {
        const std::string name{internal::take_until(text, '=')};
        out.fields.emplace_back(name, internal::take_value(text));
    }
    return out;
}

} // namespace dotterelstack::explain
