#pragma once

#include <string_view>

namespace dotterelstack::config {

/** @brief Prefix of every key that `key create` issues, by which logs and scanners recognise a leaked one. */
inline constexpr std::string_view key_prefix = "dsk_";

} // namespace dotterelstack::config
