#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "entry/caller_request.hpp"

namespace dotterelstack::entry {

/** @brief Token counts of a finished response. */
struct token_usage {
    std::uint64_t prompt_tokens{0};
    std::uint64_t completion_tokens{0};
};

/** @brief Formats completions as in the OpenAI API, either as server-sent events or as one JSON object. */
class response_format {
public:
    /**
     * @param id Identifier of the request.
     * @param it Request, for its kind and model.
     * @param created Creation time in seconds since the Unix epoch, only shown to the caller.
     */
    response_format(std::string_view id, const caller_request &it, std::int64_t created);

    /** @return One server-sent event with a token. */
    [[nodiscard]] std::string token_event(std::string_view text) const;

    /** @return The last events: finish reason with usage, and `[DONE]`. */
    [[nodiscard]] std::string end_events(std::string_view finish_reason, token_usage usage) const;

    /** @return The complete response as one JSON object. */
    [[nodiscard]] std::string full_response(std::string_view text, std::string_view finish_reason,
                                            token_usage usage) const;

private:
    const std::string id_;
    const std::string model_;
    const bool chat_;
    const std::int64_t created_;
};

} // namespace dotterelstack::entry
