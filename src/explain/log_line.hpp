#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelstack::explain {

/** @brief One logged event, as `log::write` writes it. */
struct log_line {
    std::string time;    /**< Date and time of day of the process that wrote it; sorts as text. */
    std::string source;  /**< Name of the file, empty for standard input. */
    std::string event;   /**< Name in the catalogue. */
    std::string details; /**< All fields, as written. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** @return Value of a field, unescaped; empty when it is absent. */
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;
};

/**
 * @brief Reads one line of a log.
 * @return Nothing for lines that are no event, such as those that other programs wrote into the same stream.
 */
[[nodiscard]] std::optional<log_line> parse_line(std::string_view text);

} // namespace dotterelstack::explain
