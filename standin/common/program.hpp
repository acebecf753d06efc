#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "http/server.hpp"

namespace dotterelstack::standin {

/** @brief How a stand-in listens and stops. */
struct program_options {
    std::string name;                        /**< Name in the `listening` line. */
    std::string listen{"127.0.0.1:0"};       /**< Address to bind. */
    http::server_limits limits{};            /**< Limits of its server. */
    std::chrono::milliseconds finish{10000}; /**< Longest wait for open requests after SIGTERM. */
};

/** @brief Blocks SIGTERM and SIGINT in the calling thread and the threads it starts; call it first in `main`. */
void block_stop_signals();

/**
 * @brief Serves until SIGTERM or SIGINT, then stops accepting, waits for open requests and ends the process.
 * @param options Name, address and limits.
 * @param handler Handler of every request.
 * @param stopping Called once after the signal, to answer requests that are held on purpose; may be empty.
 */
[[noreturn]] void serve_until_stopped(const program_options &options, http::request_handler handler,
                                      const std::function<void()> &stopping = {});

/** @return A response with a JSON body. */
[[nodiscard]] http::response json_response(int status, const nlohmann::json &body);

/** @return `{"error":{"code","message","ran":"no"}}`, for requests that had no effect. */
[[nodiscard]] http::response error_response(int status, std::string_view code, std::string_view message);

/** @return Part of `text` between `prefix` and `suffix`, empty when it has another form. */
[[nodiscard]] std::string_view between(std::string_view text, std::string_view prefix,
                                       std::string_view suffix) noexcept;

} // namespace dotterelstack::standin
