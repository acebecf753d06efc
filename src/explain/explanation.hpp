#pragma once

#include <span>
#include <string>

#include "explain/log_line.hpp"

namespace dotterelstack::explain {

/** @brief Outcome of a request, its cause and what to do about it. */
struct explanation {
    std::string ending; /**< Status code and outcome code. */
    std::string cause;
    std::string remedy; /**< What the operator should inspect or do next. */
};

/**
 * @brief Explains the outcome of one request from its log events.
 * @param lines All events of the request, sorted by time. The last `request_finished` or `request_refused` decides.
 */
[[nodiscard]] explanation explain_request(std::span<const log_line> lines);

} // namespace dotterelstack::explain
