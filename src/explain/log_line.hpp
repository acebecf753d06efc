#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelstack::explain {

/** @brief One parsed log event in the format of `log::write`. */
struct log_line {
    std::string time;    /**< Date and time of day by the clock of the writing process; sorts lexicographically. */
    std::string source;  /**< Name of the log file, empty for standard input. */
    std::string event;   /**< Event name in the event catalogue. */
    std::string details; /**< All fields as unparsed text. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** @return Unescaped value of a field; empty when the field is absent. */
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;
};

/**
 * @brief Parses one line of a log.
 * @return Nothing for lines that are not events, such as output of other programs in the same stream.
 */
[[nodiscard]] std::optional<log_line> parse_line(std::string_view text);

} // namespace dotterelstack::explain
