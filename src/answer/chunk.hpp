#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.hpp"

namespace dotterelstack::answer {

/** @brief One generated token on its way from agent to entry. */
struct chunk {
    std::string request;
    std::uint32_t attempt{0};
    std::uint64_t offset{0}; /**< Index of the token in the response. */
    std::string text;
};

/** @brief The last message of a response. A response without it is incomplete. */
struct chunk_end {
    std::string request;
    std::uint32_t attempt{0};
    std::uint64_t total{0}; /**< Number of tokens of the whole response, from offset 0. */
    std::uint64_t prompt_tokens{0};
    std::string finish_reason;
};

using chunk_message = std::variant<chunk, chunk_end>;

/** @return The message as one line: a JSON object and a line feed. */
[[nodiscard]] std::string encode_line(const chunk_message &message);

/** @param line One line, without the line feed. */
[[nodiscard]] base::result<chunk_message> decode_line(std::string_view line);

} // namespace dotterelstack::answer
