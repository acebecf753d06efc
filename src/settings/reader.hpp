#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::settings {

/** @brief Validation rule for a string: its predicate and the texts that are reported when it fails. */
struct text_rule {
    std::string_view expected;
    std::string_view remedy;
    bool (*accepts)(std::string_view) noexcept;
};

/** @brief Inclusive range of permitted numbers. */
template<typename Number>
struct range {
    Number low;
    Number high;
};

/** @return True for 1 to 63 characters of `a-z 0-9 . _ -`, beginning with a letter or digit. */
[[nodiscard]] bool is_name(std::string_view text) noexcept;

/** @return True for an IPv4 address with a port from 0 to 65535; port 0 selects any free port. */
[[nodiscard]] bool is_listen_address(std::string_view text) noexcept;

/** @return True for an IPv4 address with a port from 1 to 65535. */
[[nodiscard]] bool is_peer_address(std::string_view text) noexcept;

namespace rules {

inline constexpr text_rule name{"a name of 1 to 63 characters from a-z, 0-9, '.', '_' and '-'", "correct the name",
                                &is_name};
inline constexpr text_rule listen_address{"an IPv4 address and port such as 127.0.0.1:0",
                                          "name an address of this host; port 0 takes a free port", &is_listen_address};
inline constexpr text_rule peer_address{"an IPv4 address and port such as 10.0.0.1:7000",
                                        "name the address on which the server listens", &is_peer_address};
inline constexpr text_rule any{"a text", "write it in double quotes", [](std::string_view) noexcept { return true; }};

} // namespace rules

/**
 * @brief Parses JSON with comments. Duplicate fields are reported as problems, because only one of them would take
 * effect.
 * @param text Text of the file.
 * @param problems Receives duplicate fields, or the location of a syntax error.
 * @return The value; a discarded one after a syntax error.
 */
[[nodiscard]] nlohmann::json parse_json(std::string_view text, problem_list &problems);

/**
 * @brief Reads and validates the fields of one JSON object; collects every problem instead of stopping at the first.
 * The output variable of an absent field keeps its value, which is the default of an optional field; an absent required
 * field is reported. Call `finish` to report unknown fields.
 */
class object_reader {
public:
    /**
     * @param value Object to read; a value of another type is reported as a problem.
     * @param path Field path of the object, empty at the root.
     * @param problems Receives the problems.
     */
    object_reader(const nlohmann::json &value, std::string path, problem_list &problems);

    void required(std::string_view name, std::string &out, const text_rule &rule);
    void optional(std::string_view name, std::string &out, const text_rule &rule);
    void required(std::string_view name, std::vector<std::string> &out, const text_rule &rule);
    void optional(std::string_view name, std::vector<std::string> &out, const text_rule &rule);
    void required(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits);
    void optional(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits);
    void required(std::string_view name, double &out, range<double> limits);
    void optional(std::string_view name, double &out, range<double> limits);
    void optional(std::string_view name, bool &out);

    /** @brief Reads a number of milliseconds; fractions are permitted. */
    void optional(std::string_view name, base::duration &out, range<double> milliseconds);

    /** @brief Reads a string that must be one of `choices`. @return Its index, or 0 after a problem. */
    std::size_t required_choice(std::string_view name, const std::vector<std::string_view> &choices);

    /** @brief Reads an object: `read` is called with a reader for it, then unknown fields are reported. */
    void required_object(std::string_view name, const std::function<void(object_reader &)> &read);
    void optional_object(std::string_view name, const std::function<void(object_reader &)> &read);

    /** @brief Reads an array of objects: `read` is called for each, then its unknown fields are reported. */
    void required_list(std::string_view name, const std::function<void(object_reader &)> &read);
    void optional_list(std::string_view name, const std::function<void(object_reader &)> &read);

    /** @brief Reports a problem of a field of this object. */
    void report(std::string_view name, std::string found, std::string expected, std::string remedy);

    /** @brief Reports every field of the object that was not read as unknown. */
    void finish();

    [[nodiscard]] const std::string &path() const noexcept { return path_; }

private:
    enum class field_presence {
        required,
        optional
    };

    const nlohmann::json *find(std::string_view name, field_presence presence);
    std::string path_of(std::string_view name) const;
    void report_mismatch(std::string_view name, const nlohmann::json &found, std::string_view expected,
                         std::string_view remedy);
    void read_text(std::string_view name, std::string &out, const text_rule &rule, field_presence presence);
    void read_texts(std::string_view name, std::vector<std::string> &out, const text_rule &rule,
                    field_presence presence);
    void read_unsigned(std::string_view name, std::uint64_t &out, range<std::uint64_t> limits, field_presence presence);
    void read_double(std::string_view name, double &out, range<double> limits, field_presence presence);
    void read_object(std::string_view name, const std::function<void(object_reader &)> &read, field_presence presence);
    void read_list(std::string_view name, const std::function<void(object_reader &)> &read, field_presence presence);

    const nlohmann::json &value_;
    std::string path_;
    problem_list &problems_;
    std::set<std::string, std::less<>> known_fields_;
};

/**
 * @brief Reads the objects of a JSON array at the root of a file.
 * @param read Called for each object, whose unknown fields are reported afterwards.
 */
void read_array(const nlohmann::json &value, problem_list &problems, const std::function<void(object_reader &)> &read);

} // namespace dotterelstack::settings
