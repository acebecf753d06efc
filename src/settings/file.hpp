#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::settings {

/** @return The bytes of a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<std::string> read_file(const std::string &path);

/**
 * @brief Replaces fields of a parsed file.
 * @param value Object at the root of the file.
 * @param overrides `path=value` pairs, dots between the parts of the path, numbers for elements of an array, as in
 * `backends.0.address=127.0.0.1:5`. A value that is no JSON is taken as text.
 * @param problems Receives pairs without `=` and paths that lead through something else than an object.
 */
void apply_overrides(nlohmann::json &value, const std::vector<std::string> &overrides, problem_list &problems);

} // namespace dotterelstack::settings
