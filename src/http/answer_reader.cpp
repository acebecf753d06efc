#include "http/answer_reader.hpp"

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

#include "http/status.hpp"

namespace dotterelstack::http {

namespace internal {

constexpr int switching_protocols = 101;
constexpr std::string_view version_prefix{"HTTP/1."};
constexpr std::size_t version_size = 8;
constexpr std::size_t status_digits = 3;
constexpr int hexadecimal = 16;

std::string_view trimmed(std::string_view text) noexcept {
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view{} : text.substr(first, last - first + 1);
}

bool same_text(std::string_view one, std::string_view other) noexcept {
    return one.size() == other.size() && ::strncasecmp(one.data(), other.data(), one.size()) == 0;
}

bool is_control(char it) noexcept {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto value = static_cast<unsigned char>(it);
    return (value < first_printable && it != '\t') || value == del;
}

/** @return True for the characters of a token, RFC 9110, section 5.6.2. */
bool is_token_char(char it) noexcept {
    constexpr std::string_view marks{"!#$%&'*+-.^_`|~"};
    const bool letter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
    return letter || (it >= '0' && it <= '9') || marks.find(it) != std::string_view::npos;
}

/** @return The name in a field line, or nothing if the line is no field. What follows its colon is the value. */
std::optional<std::string_view> field_name(std::string_view line) noexcept {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || std::ranges::any_of(line, &is_control)) {
        return std::nullopt;
    }
    const auto name = line.substr(0, colon);
    return std::ranges::all_of(name, &is_token_char) ? std::optional{name} : std::nullopt;
}

/** @return The number that makes up the whole text, or nothing. */
std::optional<std::uint64_t> to_number(std::string_view text, int base) noexcept {
    std::uint64_t out = 0;
    const auto *end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, out, base);
    return ec == std::errc{} && it == end && !text.empty() ? std::optional{out} : std::nullopt;
}

/** @return Bytes of the chunk that a line announces, or nothing. Blanks may follow the size, as before extensions. */
std::optional<std::uint64_t> chunk_size(std::string_view line) noexcept {
    if (std::ranges::any_of(line, &is_control)) {
        return std::nullopt;
    }
    const auto size = line.substr(0, line.find(';'));
    return to_number(size.substr(0, size.find_last_not_of(" \t") + 1), hexadecimal);
}

} // namespace internal

bool answer_reader::take_line(std::string_view &in, std::size_t &left) {
    if (std::exchange(line_taken_, false)) {
        line_.clear();
    }
    const auto end = in.find('\n');
    const auto n = end == std::string_view::npos ? in.size() : end + 1;
    if (n > left) {
        too_long_ = true;
        return false;
    }
    left -= n;
    line_.append(in.substr(0, n));
    in.remove_prefix(n);
    if (end == std::string_view::npos) {
        return false;
    }
    line_.pop_back();
    if (line_.ends_with('\r')) {
        line_.pop_back();
    }
    line_taken_ = true;
    return true;
}

bool answer_reader::read_status(std::string_view line) {
    if (line.size() < internal::version_size || !line.starts_with(internal::version_prefix) ||
        std::ranges::any_of(line, &internal::is_control)) {
        return false;
    }
    const char minor_version = line[internal::version_size - 1];
    const auto rest = line.substr(internal::version_size);
    if (minor_version < '0' || minor_version > '9' || !rest.starts_with(' ')) {
        return false;
    }
    const auto number = to_status(rest.substr(1, internal::status_digits));
    const auto reason = rest.substr(std::min(rest.size(), 1 + internal::status_digits));
    if (!number || (!reason.empty() && reason.front() != ' ')) {
        return false;
    }
    status_ = *number;
    old_version_ = minor_version == '0';
    fields_.clear();
    return true;
}

bool answer_reader::read_field(std::string_view line) {
    const auto name = internal::field_name(line);
    if (name) {
        fields_.push_back({std::string{*name}, std::string{internal::trimmed(line.substr(name->size() + 1))}});
    }
    return name.has_value();
}

bool answer_reader::has_token(std::string_view name, std::string_view token) const {
    for (const auto &it : fields_) {
        if (!internal::same_text(it.name, name)) {
            continue;
        }
        std::string_view rest{it.value};
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            if (internal::same_text(internal::trimmed(rest.substr(0, end)), token)) {
                return true;
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return false;
}

bool answer_reader::choose_framing() {
    std::optional<std::uint64_t> length;
    for (const auto &it : fields_) {
        if (!internal::same_text(it.name, "Content-Length")) {
            continue;
        }
        const auto value = internal::to_number(it.value, 10);
        if (!value || (length && *length != *value)) {
            return false;
        }
        length = value;
    }
    bool chunked = false;
    for (const auto &it : fields_) {
        if (!internal::same_text(it.name, "Transfer-Encoding")) {
            continue;
        }
        // No other coding is asked for or decoded, and HTTP/1.0 has none.
        if (chunked || old_version_ || !internal::same_text(it.value, "chunked")) {
            return false;
        }
        chunked = true;
    }
    // Both together leave open where the answer ends.
    persistent_ = !old_version_ && !has_token("Connection", "close") && !(chunked && length);
    framed_ = chunked || length;
    if (without_body_ || status_ == 204 || status_ == 304) {
        framed_ = true;
        state_ = state::done;
    } else if (chunked) {
        state_ = state::chunk_line;
    } else if (framed_) {
        left_ = *length;
        state_ = state::length;
    } else {
        state_ = state::until_end;
    }
    return true;
}

read_step answer_reader::read_head(std::string_view &in) {
    while (take_line(in, head_left_)) {
        if (state_ == state::status_line) {
            if (!read_status(line_)) {
                return read_step::malformed;
            }
            state_ = state::field_lines;
        } else if (!line_.empty()) {
            if (!read_field(line_)) {
                return read_step::malformed;
            }
        } else if (status_ >= first_final_status) {
            return choose_framing() ? read_step::head : read_step::malformed;
        } else if (status_ == internal::switching_protocols) {
            return read_step::malformed;
        } else {
            state_ = state::status_line;
        }
    }
    return too_long_ ? read_step::too_long : read_step::more;
}

read_step answer_reader::read_part(std::string_view &in, state after) {
    if (left_ == 0) {
        state_ = after;
        return next(in);
    }
    if (in.empty()) {
        return read_step::more;
    }
    part_ = in.substr(0, left_);
    in.remove_prefix(part_.size());
    left_ -= part_.size();
    return read_step::part;
}

read_step answer_reader::read_chunk_line(std::string_view &in) {
    if (!take_line(in, chunk_line_left_)) {
        return too_long_ ? read_step::too_long : read_step::more;
    }
    chunk_line_left_ = chunk_line_limit;
    const auto value = internal::chunk_size(line_);
    if (!value) {
        return read_step::malformed;
    }
    left_ = *value;
    state_ = left_ == 0 ? state::trailers : state::chunk;
    return next(in);
}

read_step answer_reader::read_trailers(std::string_view &in) {
    while (take_line(in, head_left_)) {
        if (line_.empty()) {
            state_ = state::done;
            return read_step::done;
        }
        if (!internal::field_name(line_)) {
            return read_step::malformed;
        }
    }
    return too_long_ ? read_step::too_long : read_step::more;
}

read_step answer_reader::next(std::string_view &in) {
    switch (state_) {
    case state::status_line:
    case state::field_lines:
        return read_head(in);
    case state::length:
        return read_part(in, state::done);
    case state::chunk_line:
        return read_chunk_line(in);
    case state::chunk:
        return read_part(in, state::chunk_end);
    case state::chunk_end:
        if (!take_line(in, chunk_line_left_)) {
            return too_long_ ? read_step::too_long : read_step::more;
        }
        if (!line_.empty()) {
            return read_step::malformed;
        }
        state_ = state::chunk_line;
        return read_chunk_line(in);
    case state::trailers:
        return read_trailers(in);
    case state::until_end:
        if (in.empty()) {
            return read_step::more;
        }
        part_ = in;
        in.remove_prefix(in.size());
        return read_step::part;
    case state::done:
        return read_step::done;
    }
    return read_step::malformed;
}

} // namespace dotterelstack::http
