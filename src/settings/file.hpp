#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::settings {

/** @return Contents of a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<std::string> read_file(const std::string &path);

/**
 * @brief Replaces fields of a parsed file.
 * @param value Object at the root of the file.
 * @param overrides `path=value` pairs. The parts of a path are separated by dots, and an array element is given by its
 * index, as in `backends.0.address=127.0.0.1:5`. A value that is not valid JSON is used as a string.
 * @param problems Receives pairs without a path or `=`, and paths through a scalar or a missing array element.
 */
void apply_overrides(nlohmann::json &value, const std::vector<std::string> &overrides, problem_list &problems);

} // namespace dotterelstack::settings
