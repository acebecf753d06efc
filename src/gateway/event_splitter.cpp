#include "gateway/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace dotterelstack::gateway {

namespace internal {

/** Position after the first blank line at or behind `from`, or npos. Lines end with LF or CRLF. */
std::size_t end_of_event(std::string_view text, std::size_t from) {
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1).starts_with('\n')) {
            return at + 2;
        }
        if (text.substr(at + 1).starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> event_id(std::string_view text) {
    std::optional<std::uint64_t> out;
    while (!text.empty()) {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        std::uint64_t id = 0;
        const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc{} && last == line.data() + line.size()) {
            out = id;
        }
    }
    return out;
}

} // namespace internal

std::optional<stream_event> event_splitter::next() {
    const auto end = internal::end_of_event(buffer_, searched_);
    if (end == std::string_view::npos) {
        // A line end at the very end may be followed by the blank line.
        constexpr std::size_t longest_break = 3;
        searched_ = buffer_.size() - std::min(buffer_.size(), longest_break);
        return std::nullopt;
    }
    searched_ = 0;
    stream_event out{buffer_.substr(0, end), std::nullopt};
    out.id = internal::event_id(out.text);
    buffer_.erase(0, end);
    return out;
}

} // namespace dotterelstack::gateway
