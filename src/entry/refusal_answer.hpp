#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::entry {

/** @brief What a refusal claims about the backend server. */
enum class ran_claim {
    no,
    unknown
};

/** @brief A final answer other than success. */
struct refusal_answer {
    int status{500};
    std::string code;    /**< Stable, snake_case. */
    std::string message; /**< Names the remedy. */
    ran_claim ran{ran_claim::no};
    std::optional<base::duration> retry_after{}; /**< Set where asking again makes sense. */
};

/** @return `{"error":{"code","message","ran"}}`. */
[[nodiscard]] std::string error_body(const refusal_answer &it);

/** @return The HTTP response, with `Retry-After` in whole seconds, rounded up. */
[[nodiscard]] http::response to_response(const refusal_answer &it);

} // namespace dotterelstack::entry
