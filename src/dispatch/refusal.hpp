#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "http/message.hpp"

namespace dotterelstack::dispatch {

/** @brief What a refusal claims about the backend server. */
enum class ran_claim : std::uint8_t {
    no,
    unknown
};

/** @brief A final answer other than success. */
struct refusal {
    int status{500};
    std::string code;    /**< Stable, snake_case. */
    std::string message; /**< Names the remedy. */
    ran_claim ran{ran_claim::no};
    std::optional<base::duration> retry_after{}; /**< Set where asking again makes sense. */
    bool abort_connection{
        false}; /**< The connection is broken off in place of an answer, where a front end can do that. */
};

/** @brief Form of `Retry-After`. */
enum class seconds_form : std::uint8_t {
    whole,     /**< As RFC 9110 has it, rounded up. */
    fractional /**< With milliseconds, for callers that are known to read them. */
};

/** @return `{"error":{"code","message","ran"}}`. */
[[nodiscard]] std::string error_body(const refusal &it);

/** @return The HTTP response, with `Retry-After` when it is known. */
[[nodiscard]] http::response to_response(const refusal &it, seconds_form form = seconds_form::whole);

} // namespace dotterelstack::dispatch
