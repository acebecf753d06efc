#include "settings/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "base/seconds.hpp"

namespace dotterelstack::settings {

namespace internal {

constexpr std::size_t max_name_length = 63;
constexpr double milliseconds_per_second = 1000;
constexpr std::size_t max_quoted_length = 80;

bool is_address(std::string_view text, unsigned int lowest_port) noexcept {
    const auto number = [&text](unsigned int limit, char end) {
        unsigned int value = 0;
        const auto stop = end == '\0' ? text.size() : text.find(end);
        if (stop == std::string_view::npos || stop == 0) {
            return -1L;
        }
        const auto [ptr, ec] = std::from_chars(text.data(), text.data() + stop, value);
        if (ec != std::errc{} || ptr != text.data() + stop || value > limit) {
            return -1L;
        }
        text.remove_prefix(std::min(text.size(), stop + 1));
        return static_cast<long>(value);
    };
    constexpr unsigned int byte_limit = 255;
    constexpr unsigned int port_limit = 65535;
    for (const char end : {'.', '.', '.', ':'}) {
        if (number(byte_limit, end) < 0) {
            return false;
        }
    }
    return number(port_limit, '\0') >= static_cast<long>(lowest_port);
}

std::string quoted(const nlohmann::json &value) {
    auto out = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (out.size() > max_quoted_length) {
        out.resize(max_quoted_length);
        out += "...";
    }
    return out;
}

std::string location_of(std::string_view text, std::size_t offset) {
    const auto before = text.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto start = before.rfind('\n');
    const auto column = start == std::string_view::npos ? before.size() + 1 : before.size() - start;
    return "line " + std::to_string(line) + " column " + std::to_string(column);
}

std::string range_text(std::string_view noun, std::string low, std::string high) {
    return std::string{noun} + " from " + std::move(low) + " to " + std::move(high);
}

/** @return The value if it is a whole number, also when it is written as 40.0. */
std::optional<std::uint64_t> whole_number(const nlohmann::json &value) {
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    constexpr double limit = 1e15;
    const double n = value.is_number_float() ? value.get<double>() : -1;
    return n >= 0 && n <= limit && std::floor(n) == n ? std::optional{static_cast<std::uint64_t>(n)} : std::nullopt;
}

std::string number_text(double value) {
    std::array<char, 32> buf{};
    const auto [ptr, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return ec == std::errc{} ? std::string{buf.data(), ptr} : std::string{};
}

} // namespace internal

bool is_name(std::string_view text) noexcept {
    const auto alphanumeric = [](char it) { return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9'); };
    return !text.empty() && text.size() <= internal::max_name_length && alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [&alphanumeric](char it) { return alphanumeric(it) || it == '.' || it == '_' || it == '-'; });
}

bool is_listen_address(std::string_view text) noexcept {
    return internal::is_address(text, 0);
}

bool is_peer_address(std::string_view text) noexcept {
    return internal::is_address(text, 1);
}

nlohmann::json parse_json(std::string_view text, problem_list &problems) {
    std::vector<std::set<std::string>> names;
    const auto check = [&](int, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        if (event == nlohmann::json::parse_event_t::object_start) {
            names.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            names.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key &&
                   !names.back().insert(parsed.get<std::string>()).second) {
            problems.add({parsed.get<std::string>(), "a second field of this name", "each field once in an object",
                          "remove one of them"});
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text.begin(), text.end(), check, true, true);
    } catch (const nlohmann::json::parse_error &ec) {
        problems.add({internal::location_of(text, ec.byte > 0 ? ec.byte - 1 : 0), "", "JSON with optional comments",
                      "correct the syntax there; strings take double quotes, the last element no comma"});
    }
    return nlohmann::json(nlohmann::json::value_t::discarded);
}

object_reader::object_reader(const nlohmann::json &value, std::string path, problem_list &problems)
    : value_{value}, path_{std::move(path)}, problems_{problems} {
    if (!value_.is_object()) {
        problems_.add({path_.empty() ? "the file" : path_, internal::quoted(value_), "an object {...}",
                       "write its fields in braces"});
    }
}

std::string object_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

const nlohmann::json *object_reader::find(std::string_view name, field_presence presence) {
    known_fields_.emplace(name);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto it = value_.find(std::string{name});
    if (it != value_.end()) {
        return &*it;
    }
    if (presence == field_presence::required) {
        problems_.add({path_of(name), "nothing", "this field", "add the field"});
    }
    return nullptr;
}

void object_reader::report_mismatch(std::string_view name, const nlohmann::json &found, std::string_view expected,
                                    std::string_view remedy) {
    problems_.add({path_of(name), internal::quoted(found), std::string{expected}, std::string{remedy}});
}

void object_reader::report(std::string_view name, std::string found, std::string expected, std::string remedy) {
    problems_.add({path_of(name), std::move(found), std::move(expected), std::move(remedy)});
}

void object_reader::read_text(std::string_view name, std::string &out, const text_rule &rule, field_presence presence) {
    const auto *found = find(name, presence);
    if (found == nullptr) {
        return;
    }
    if (found->is_string() && rule.accepts(found->get_ref<const std::string &>())) {
        out = found->get<std::string>();
    } else {
        report_mismatch(name, *found, rule.expected, rule.remedy);
    }
}

void object_reader::read_texts(std::string_view name, std::vector<std::string> &out, const text_rule &rule,
                               field_presence presence) {
    const auto *found = find(name, presence);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        report_mismatch(name, *found, "an array of texts", "write the texts in brackets");
        return;
    }
    out.clear();
    for (std::size_t it = 0; it < found->size(); ++it) {
        const auto &element = (*found)[it];
        if (element.is_string() && rule.accepts(element.get_ref<const std::string &>())) {
            out.push_back(element.get<std::string>());
        } else {
            report_mismatch(std::string{name} + "[" + std::to_string(it) + "]", element, rule.expected, rule.remedy);
        }
    }
}

void object_reader::read_unsigned(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits,
                                  field_presence presence) {
    const auto *found = find(name, presence);
    if (found == nullptr) {
        return;
    }
    if (const auto n = internal::whole_number(*found); n && *n >= limits.low && *n <= limits.high) {
        out = *n;
        return;
    }
    report_mismatch(name, *found,
                    internal::range_text("a whole number", std::to_string(limits.low), std::to_string(limits.high)),
                    "choose a value in that range");
}

void object_reader::read_double(std::string_view name, double &out, range<double> limits, field_presence presence) {
    const auto *found = find(name, presence);
    if (found == nullptr) {
        return;
    }
    if (found->is_number()) {
        const auto n = found->get<double>();
        if (std::isfinite(n) && n >= limits.low && n <= limits.high) {
            out = n;
            return;
        }
    }
    report_mismatch(
        name, *found,
        internal::range_text("a number", internal::number_text(limits.low), internal::number_text(limits.high)),
        "choose a value in that range");
}

void object_reader::required(std::string_view name, std::string &out, const text_rule &rule) {
    read_text(name, out, rule, field_presence::required);
}

void object_reader::optional(std::string_view name, std::string &out, const text_rule &rule) {
    read_text(name, out, rule, field_presence::optional);
}

void object_reader::required(std::string_view name, std::vector<std::string> &out, const text_rule &rule) {
    read_texts(name, out, rule, field_presence::required);
}

void object_reader::optional(std::string_view name, std::vector<std::string> &out, const text_rule &rule) {
    read_texts(name, out, rule, field_presence::optional);
}

void object_reader::required(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits) {
    read_unsigned(name, out, limits, field_presence::required);
}

void object_reader::optional(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits) {
    read_unsigned(name, out, limits, field_presence::optional);
}

void object_reader::required(std::string_view name, double &out, range<double> limits) {
    read_double(name, out, limits, field_presence::required);
}

void object_reader::optional(std::string_view name, double &out, range<double> limits) {
    read_double(name, out, limits, field_presence::optional);
}

void object_reader::optional(std::string_view name, bool &out) {
    const auto *found = find(name, field_presence::optional);
    if (found == nullptr) {
        return;
    }
    if (found->is_boolean()) {
        out = found->get<bool>();
    } else {
        report_mismatch(name, *found, "true or false", "write it without quotes");
    }
}

void object_reader::optional(std::string_view name, base::duration &out, range<double> milliseconds) {
    double n = base::to_seconds(out) * internal::milliseconds_per_second;
    read_double(name, n, milliseconds, field_presence::optional);
    out = base::from_seconds(n / internal::milliseconds_per_second);
}

std::size_t object_reader::required_choice(std::string_view name, const std::vector<std::string_view> &choices) {
    const auto *found = find(name, field_presence::required);
    if (found == nullptr) {
        return 0;
    }
    std::string expected = "one of";
    for (std::size_t it = 0; it < choices.size(); ++it) {
        if (found->is_string() && found->get_ref<const std::string &>() == choices[it]) {
            return it;
        }
        expected += (it == 0 ? " \"" : ", \"") + std::string{choices[it]} + "\"";
    }
    report_mismatch(name, *found, expected, "choose one of these");
    return 0;
}

void object_reader::read_object(std::string_view name, const std::function<void(object_reader &)> &read,
                                field_presence presence) {
    const auto *found = find(name, presence);
    if (found != nullptr) {
        object_reader inner{*found, path_of(name), problems_};
        if (found->is_object()) {
            read(inner);
            inner.finish();
        }
    }
}

void object_reader::read_list(std::string_view name, const std::function<void(object_reader &)> &read,
                              field_presence presence) {
    const auto *found = find(name, presence);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        report_mismatch(name, *found, "an array of objects", "write the objects in brackets");
        return;
    }
    for (std::size_t it = 0; it < found->size(); ++it) {
        object_reader inner{(*found)[it], path_of(name) + "[" + std::to_string(it) + "]", problems_};
        if ((*found)[it].is_object()) {
            read(inner);
            inner.finish();
        }
    }
}

void object_reader::required_object(std::string_view name, const std::function<void(object_reader &)> &read) {
    read_object(name, read, field_presence::required);
}

void object_reader::optional_object(std::string_view name, const std::function<void(object_reader &)> &read) {
    read_object(name, read, field_presence::optional);
}

void object_reader::required_list(std::string_view name, const std::function<void(object_reader &)> &read) {
    read_list(name, read, field_presence::required);
}

void object_reader::optional_list(std::string_view name, const std::function<void(object_reader &)> &read) {
    read_list(name, read, field_presence::optional);
}

void object_reader::finish() {
    if (!value_.is_object()) {
        return;
    }
    for (const auto &it : value_.items()) {
        if (!known_fields_.contains(it.key())) {
            std::string known;
            for (const auto &name : known_fields_) {
                known += (known.empty() ? "" : ", ") + name;
            }
            problems_.add(
                {path_of(it.key()), "an unknown field", "one of " + known, "remove the field or correct its name"});
        }
    }
}

void read_array(const nlohmann::json &value, problem_list &problems, const std::function<void(object_reader &)> &read) {
    if (!value.is_array()) {
        problems.add({"the file", internal::quoted(value), "an array of objects", "write the objects in brackets"});
        return;
    }
    for (std::size_t it = 0; it < value.size(); ++it) {
        object_reader inner{value[it], "[" + std::to_string(it) + "]", problems};
        if (value[it].is_object()) {
            read(inner);
            inner.finish();
        }
    }
}

} // namespace dotterelstack::settings
