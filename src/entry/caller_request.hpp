#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/refusal.hpp"
#include "http/message.hpp"

namespace dotterelstack::entry {

/** @brief Kind of a caller's request. */
enum class request_kind {
    completion,
    chat,
    call
};

/** @brief A caller's request after validation of its syntax. */
struct caller_request {
    request_kind kind{request_kind::completion};
    std::string key;             /**< Bearer key; empty if absent. Never logged or forwarded. */
    std::string idempotency_key; /**< Empty if absent. */
    std::string method;
    std::string path;    /**< Path at the backend server: that of completions, or the part after the service's name. */
    std::string model;   /**< Set for completions. */
    std::string service; /**< Set for calls. */
    std::string prompt;  /**< Prompt text, used for prefix-aware routing. */
    std::uint64_t prompt_tokens{0}; /**< Estimate; the engine reports the exact count. */
    std::uint64_t max_tokens{0};
    std::int64_t priority{0};
    bool stream{false};
    std::string content_type;
    std::string body;
};

/** @brief Limits that a request must meet. */
struct request_limits {
    std::uint64_t max_tokens{32768};
    std::uint64_t default_max_tokens{16};
    std::size_t header_bytes{16384};
    std::size_t idempotency_key_bytes{255};
};

using parse_result =
    boost::outcome_v2::basic_result<caller_request, dispatch::refusal, boost::outcome_v2::policy::terminate>;

/**
 * @brief Parses and validates a caller's request.
 * @return The request, or the refusal with status 400, 404, 405, 413 or 431.
 */
[[nodiscard]] parse_result parse_caller_request(const http::request &message, const request_limits &limits);

/**
 * @brief Estimated number of tokens of a text.
 *
 * Counts a token per word, and one per eight bytes of a long word, since tokenizers split long words.
 */
[[nodiscard]] std::uint64_t estimate_tokens(std::string_view text) noexcept;

/**
 * @brief Hashes of the prompt's prefixes, one for each full block.
 * @param model Salt of the hashes, as cached state is not shared between models.
 * @param block_tokens Tokens per block.
 */
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view model, std::string_view prompt,
                                                       std::uint32_t block_tokens);

} // namespace dotterelstack::entry
