#pragma once

#include <concepts>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

#include "log/catalogue.hpp"

namespace dotterelstack::log {

namespace internal {

/** Not constexpr: reaching it while a constant is evaluated is a compile error that shows this name. */
inline void name_not_in_catalogue() {}
inline void field_name_not_permitted() {}

/** Names of fields that would carry a key, a prompt or a response. */
inline constexpr auto forbidden_fields =
    std::to_array<std::string_view>({"key", "api_key", "authorization", "bearer", "secret", "token", "cookie", "prompt",
                                     "messages", "body", "text", "response", "completion", "content"});

consteval const event_description &find_description(std::string_view name) {
    for (const auto &it : catalogue) {
        if (it.name == name) {
            return it;
        }
    }
    name_not_in_catalogue();
    return catalogue.front();
}

consteval std::string_view check_field(std::string_view name) {
    for (const auto it : forbidden_fields) {
        if (it == name) {
            field_name_not_permitted();
        }
    }
    for (const char it : name) {
        if ((it < 'a' || it > 'z') && (it < '0' || it > '9') && it != '_') {
            field_name_not_permitted();
        }
    }
    return name;
}

} // namespace internal

/** @brief An event of the catalogue, named by a literal that is checked at compile time. */
class event {
public:
    /** @param name Name in the catalogue. */
    consteval event(const char *name) : description_{&internal::find_description(name)} {}

    [[nodiscard]] const event_description &description() const noexcept { return *description_; }

private:
    const event_description *description_;
};

/** @brief Name of a field, checked at compile time: snake case, and none that would hold a key, prompt or response. */
class field_name {
public:
    consteval field_name(const char *name) : name_{internal::check_field(name)} {}

    [[nodiscard]] std::string_view text() const noexcept { return name_; }

private:
    std::string_view name_;
};

/** @brief One `name=value` of an event. */
class field {
public:
    field(field_name name, std::string_view value) : name_{name}, value_{value} {}
    field(field_name name, const char *value) : name_{name}, value_{value} {}
    field(field_name name, const std::string &value) : name_{name}, value_{value} {}
    field(field_name name, bool value) : name_{name}, value_{value ? "true" : "false"} {}
    template<typename Number>
    requires(std::integral<Number> || std::floating_point<Number>) field(field_name name, Number value)
        : name_{name}, value_{std::to_string(value)} {}

    [[nodiscard]] std::string_view name() const noexcept { return name_.text(); }
    [[nodiscard]] const std::string &value() const noexcept { return value_; }

private:
    field_name name_;
    std::string value_;
};

using field_values = std::initializer_list<field>;

/** @brief Longest logged value in bytes; longer ones are cut, because one line must stay one write. */
inline constexpr std::size_t value_limit = 256;

/**
 * @brief Formats the line of an event, `E1203 event=lease_lost lease=planner`.
 *
 * Values with spaces, quotes or control characters are quoted and escaped, and values that contain a caller's key
 * (recognised by its prefix) are replaced by `[redacted]`.
 * @return One line without line feed.
 */
[[nodiscard]] std::string format(event what, field_values values = {});

/**
 * @brief Writes one line for an event through glog.
 * @param what Event of the catalogue.
 * @param values Its fields.
 */
void write(event what, field_values values = {});

/**
 * @brief Writes one line on this thread, past the background writer and ahead of the lines that wait there. For the
 * last line of a process that fails.
 */
void write_now(event what, field_values values = {});

/** @brief Where log lines go; never to a file, since the hosts are diskless. */
enum class destination {
    standard_error,
    standard_output
};

/**
 * @brief Prepares glog. Call once in `main`.
 * @param program Name of the program.
 */
void start(const char *program, destination to = destination::standard_error);

} // namespace dotterelstack::log
