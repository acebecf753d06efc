#pragma once

#include <functional>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "cli/entry_status.hpp"
#include "http/client.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::cli {

/** @brief Process exit codes, on which operators' scripts rely. */
enum class exit_code {
    success = 0,
    failure = 1,
    usage = 2,
    refused = 3
};

/** @brief External dependencies of the commands; tests pass fakes. */
struct environment {
    store::object_store &objects;
    http::client &client;
    entry_status_source &statuses;
    std::ostream &out;
    std::ostream &err;
    const base::clock &clock;
    std::function<void(base::duration)> sleep;
    std::istream &in = std::cin;
};

/** @brief Service addresses from the command line or environment variables. */
struct addresses {
    std::optional<std::string> store;    /**< `--store`, else `DOTTERELSTACK_STORE`. */
    std::optional<std::string> platform; /**< `--platform`, else `DOTTERELSTACK_PLATFORM`. */
};

/** @return Names of the operator commands; `run` takes one of them as its first argument. */
[[nodiscard]] std::span<const std::string_view> command_names() noexcept;

/** @return Service addresses; the caller needs them to create the store client before `run`. */
[[nodiscard]] addresses find_addresses(std::span<const std::string_view> arguments);

/**
 * @brief Runs one operator command.
 * @param arguments Command name and its arguments, without the program name.
 * @return Exit code: 0 success, 1 failure, 2 usage or settings error, 3 conflict or refused risk.
 */
[[nodiscard]] int run(std::span<const std::string_view> arguments, const environment &env);

/** @brief Overload with the boot-time clock that sleeps on the calling thread. */
[[nodiscard]] int run(std::span<const std::string_view> arguments, store::object_store &objects, http::client &client,
                      entry_status_source &statuses, std::ostream &out, std::ostream &err);

} // namespace dotterelstack::cli
