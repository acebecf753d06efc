#pragma once

#include <string_view>

namespace dotterelstack::config {

/** @brief Prefix of every key that `key create` issues; logs and secret scanners recognise leaked keys by it.
 */
inline constexpr std::string_view key_prefix = "dsk_";

} // namespace dotterelstack::config
