#pragma once

#include <cstdint>
#include <string>

#include "answer/chunk.hpp"

namespace dotterelstack::answer {

/** @brief What the entry does with a message of an agent's response stream. */
enum class assembler_action {
    deliver, /**< Forward the text to the caller. */
    ignore,  /**< Message of another request or attempt, or a repeated token. */
    resume,  /**< Tokens are missing; start a new attempt at `next_offset`. */
    complete /**< Every token was delivered; end the response. */
};

/** @brief Assembles the response of one request from the chunks of one or more attempts. */
class response_assembler {
public:
    explicit response_assembler(std::string request) : request_{std::move(request)} {}

    /** @brief Starts an attempt; from now on, messages of other attempts are ignored. */
    void begin_attempt(std::uint32_t attempt) noexcept { attempt_ = attempt; }

    /** @return Action for a chunk; `deliver` advances `next_offset`. */
    [[nodiscard]] assembler_action accept(const chunk &it) noexcept;

    /** @return Action for the last message; `complete` only if the number of delivered tokens equals its total. */
    [[nodiscard]] assembler_action accept(const chunk_end &it) noexcept;

    /** @return Offset of the first token not yet delivered. */
    [[nodiscard]] std::uint64_t next_offset() const noexcept { return next_offset_; }

    [[nodiscard]] std::uint32_t attempt() const noexcept { return attempt_; }

    [[nodiscard]] bool complete() const noexcept { return complete_; }

private:
    const std::string request_;
    std::uint32_t attempt_{0};
    std::uint64_t next_offset_{0};
    bool complete_{false};
};

} // namespace dotterelstack::answer
