#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "answer/chunk.hpp"
#include "answer/sse_parser.hpp"
#include "base/error.hpp"
#include "http/message.hpp"

namespace dotterelstack::agent {

/** @brief Turns an engine's event stream into chunk lines with offsets. */
class completion_relay {
public:
    /**
     * @param request Identifier of the request.
     * @param attempt Number of the attempt.
     * @param offset First token that the entry wants.
     * @param write Takes one encoded line; false stops the relay.
     */
    completion_relay(std::string request, std::uint32_t attempt, std::uint64_t offset,
                     std::function<bool(std::string_view line)> write);

    /** @return False when the reader has gone or the engine sent something else than events. */
    [[nodiscard]] bool feed(std::string_view part);

    /** @return True when the engine ended its response with usage and `[DONE]`. */
    [[nodiscard]] bool complete() const noexcept { return complete_; }

private:
    [[nodiscard]] bool on_event(std::string_view data);

    const std::string request_;
    const std::uint32_t attempt_;
    const std::function<bool(std::string_view)> write_;
    std::uint64_t next_offset_;
    std::uint64_t prompt_tokens_{0};
    std::string finish_reason_;
    bool complete_{false};
    answer::sse_parser parser_;
};

/**
 * @brief The engine's request for a caller's request.
 * @param body The caller's JSON body.
 * @param path Completions path.
 * @param offset First token wanted.
 * @param priority Passed on to the engine.
 */
[[nodiscard]] base::result<http::request> engine_request(std::string_view body, std::string_view path,
                                                         std::string_view request_id, std::uint64_t offset,
                                                         std::int64_t priority);

} // namespace dotterelstack::agent
