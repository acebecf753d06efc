#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief What a refusal states about whether the request ran at a backend server. */
enum class ran_claim : std::uint8_t {
    no,
    unknown
};

/** @brief A final answer other than success. */
struct refusal {
    int status{500};
    std::string code;    /**< Stable, snake_case. */
    std::string message; /**< Tells the caller what to do. */
    ran_claim ran{ran_claim::no};
    std::optional<base::duration> retry_after{}; /**< Set if a later retry may succeed. */
    bool abort_connection{false}; /**< Abort the connection instead of sending an answer, if the front end can. */
};

/** @brief Format of `Retry-After`. */
enum class seconds_form : std::uint8_t {
    whole,     /**< Whole seconds as in RFC 9110, rounded up. */
    fractional /**< With milliseconds, for callers that are known to accept them. */
};

/** @return `{"error":{"code","message","ran"}}`. */
[[nodiscard]] std::string error_body(const refusal &it);

/** @return The HTTP response, with `Retry-After` when it is known. */
[[nodiscard]] http::response to_response(const refusal &it, seconds_form form = seconds_form::whole);

} // namespace dotterelstack::dispatch
