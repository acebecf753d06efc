#pragma once

#include <span>
#include <string>

#include "explain/log_line.hpp"

namespace dotterelstack::explain {

/** @brief Why a request ended as it did. */
struct explanation {
    std::string ending; /**< Status and outcome. */
    std::string cause;
    std::string remedy; /**< What to look at or do next. */
};

/**
 * @brief Explains the end of one request.
 * @param lines All lines of the request, in the order of time.
 */
[[nodiscard]] explanation explain_request(std::span<const log_line> lines);

} // namespace dotterelstack::explain
