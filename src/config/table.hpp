#pragma once

#include <map>
#include <string>
#include <string_view>

#include "config/declarations.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::config {

/**
 * @brief Reads the table of weights and limits from CSV (RFC 4180): one row per organisation and service.
 *
 * Accepts quoted fields, LF and CRLF, a UTF-8 byte order mark, columns in any order, and the variant that spreadsheets
 * write in locales with a decimal comma, which separates fields by semicolons. Empty lines are skipped.
 * @param problems Receives every problem with line and column.
 * @return The rows that are valid.
 */
[[nodiscard]] std::map<row_name, row> parse_table(std::string_view text, settings::problem_list &problems);

/** @return CSV with a header line, commas and LF, sorted by organisation and service. */
[[nodiscard]] std::string format_table(const std::map<row_name, row> &rows);

} // namespace dotterelstack::config
