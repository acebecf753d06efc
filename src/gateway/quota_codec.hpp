#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "limits/quota_message.hpp"

namespace dotterelstack::gateway {

/** @brief Path at which a gateway takes reports on the use of quotas. */
inline constexpr std::string_view quota_path = "/quota";

[[nodiscard]] std::string to_text(const limits::quota_report &report);
[[nodiscard]] std::string to_text(const limits::quota_answer &answer);

/** @return The report, or nothing if it cannot be read. */
[[nodiscard]] std::optional<limits::quota_report> parse_quota_report(std::string_view text);

/** @return The answer, or nothing if it cannot be read. */
[[nodiscard]] std::optional<limits::quota_answer> parse_quota_answer(std::string_view text);

} // namespace dotterelstack::gateway
