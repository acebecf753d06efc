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

/** @brief Converts an engine's server-sent events into chunk lines that carry token offsets. */
class completion_relay {
public:
    /**
     * @param request Identifier of the request.
     * @param attempt Number of the attempt.
     * @param offset Index of the first token to relay.
     * @param write Receives one encoded line; returns false to stop the relay.
     */
    completion_relay(std::string request, std::uint32_t attempt, std::uint64_t offset,
                     std::function<bool(std::string_view line)> write);

    /** @return False if `write` returned false or the engine sent invalid events. */
    [[nodiscard]] bool feed(std::string_view part);

    /** @return True when the engine has ended its response with `[DONE]`. */
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
 * @brief Builds the request to the engine from the caller's request.
 * @param body The caller's JSON body.
 * @param path Completions path of the engine.
 * @param request_id Sent to the engine as `X-Request-Id`.
 * @param offset Index of the first token that the engine returns.
 * @param priority Scheduling priority, passed on to the engine.
 */
[[nodiscard]] base::result<http::request> engine_request(std::string_view body, std::string_view path,
                                                         std::string_view request_id, std::uint64_t offset,
                                                         std::int64_t priority);

} // namespace dotterelstack::agent
