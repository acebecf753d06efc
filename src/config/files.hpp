#pragma once

#include <string>
#include <string_view>

#include "base/error.hpp"
#include "config/declarations.hpp"
#include "config/merge.hpp"

namespace dotterelstack::config {

/** @brief Names of the files in a directory of declarations. */
namespace file_names {

inline constexpr std::string_view organisations = "organisations.json";
inline constexpr std::string_view services = "services.json";
inline constexpr std::string_view keys = "keys.json";
inline constexpr std::string_view planned = "changes.json";
inline constexpr std::string_view table = "table.csv";
inline constexpr std::string_view base = "base.json"; /**< Written by `export` and `apply`; not to be edited by hand. */

} // namespace file_names

/** @brief Content of a directory of declarations. */
struct declaration_files {
    declarations values;
    merge_base base; /**< Empty if the directory was never written by `export` or `apply`. */
};

/**
 * @brief Reads and validates a directory of declarations.
 * @param directory Path of the directory.
 * @return The content, or a single `invalid_argument` error that lists the problems of all files.
 */
[[nodiscard]] base::result<declaration_files> load_files(const std::string &directory);

/**
 * @brief Writes a directory of declarations; each file is replaced atomically, `base.json` last.
 * @return Success, or an `internal` error with the path that could not be written.
 */
[[nodiscard]] base::result<void> save_files(const std::string &directory, const declarations &values,
                                            const merge_base &base);

/** @brief Replaces `base.json` only. */
[[nodiscard]] base::result<void> save_base(const std::string &directory, const merge_base &base);

/** @return True if the directory contains none of the files that declare items. */
[[nodiscard]] bool has_no_files(const std::string &directory);

} // namespace dotterelstack::config
