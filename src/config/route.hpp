#pragma once

#include <string_view>

#include "config/declarations.hpp"

namespace dotterelstack::config {

/** @return True if the path matches; `*` matches one segment, a final `**` any number of segments. */
[[nodiscard]] bool path_matches(std::string_view pattern, std::string_view path) noexcept;

/** @return The first matching route of the service, or null. */
[[nodiscard]] const route *find_route(const service &value, std::string_view method, std::string_view path) noexcept;

} // namespace dotterelstack::config
