#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

namespace dotterelstack::base {

/** @brief What the caller of a failed operation may conclude and do. */
enum class error_kind {
    invalid_argument, /**< The input is wrong; repeating it unchanged fails again. */
    not_found,        /**< The named thing does not exist. */
    conflict,         /**< A conditional write met another version; read again, then decide. */
    refused,          /**< The peer refused before it did anything. */
    unavailable,      /**< The peer was not reached; nothing was done. */
    unknown_outcome,  /**< The peer may or may not have acted; read its state first. */
    timeout,          /**< A read did not answer in time. */
    exhausted,        /**< A limit or a budget is used up; try again later. */
    internal          /**< A fault of this program. */
};

/** @brief A typed failure whose message names the remedy. */
struct error {
    error_kind kind{error_kind::internal};
    std::string code;    /**< Stable identifier, snake_case. */
    std::string message; /**< One sentence for people: what failed and what to do. */
};

/** @brief Either a value or an `error`. Reading the wrong side terminates the program. */
template<typename Type>
using result = boost::outcome_v2::basic_result<Type, error, boost::outcome_v2::policy::terminate>;

/**
 * @brief Builds the failure side of a result.
 * @param kind What the caller may conclude.
 * @param code Stable identifier.
 * @param message Failure and remedy.
 * @return A value convertible to any `result`.
 */
[[nodiscard]] inline auto fail(error_kind kind, std::string code, std::string message) {
    return boost::outcome_v2::failure(error{kind, std::move(code), std::move(message)});
}

/** @brief The success side of `result<void>`. */
[[nodiscard]] inline auto success() noexcept {
    return boost::outcome_v2::success();
}

} // namespace dotterelstack::base
