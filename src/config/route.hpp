#pragma once

#include <string_view>

#include "config/declarations.hpp"

namespace dotterelstack::config {

/** @return True if the path matches; `*` stands for one segment, a final `**` for any rest. */
[[nodiscard]] bool path_matches(std::string_view pattern, std::string_view path) noexcept;

/** @return First route of the service that matches, or null. */
[[nodiscard]] const route *find_route(const service &value, std::string_view method, std::string_view path) noexcept;

} // namespace dotterelstack::config
