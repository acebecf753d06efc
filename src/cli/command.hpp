#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "cli/run.hpp"
#include "config/repository.hpp"

namespace dotterelstack::cli::internal {

/** @brief Parsed command line and dependencies of one command. */
struct command_context {
    const environment &env;
    const cxxopts::ParseResult &options;
    addresses endpoints;
    config::repository &declarations;
};

/** @brief Descriptor of one operator command. */
struct command {
    std::string_view name;
    std::string_view summary;
    std::string_view positional; /**< Positional arguments as shown in the usage line. */
    bool needs_store;
    void (*declare)(cxxopts::Options &options);
    base::result<exit_code> (*run)(command_context &context);
};

extern const command apply_command;
extern const command plan_command;
extern const command export_command;
extern const command get_command;
extern const command key_command;
extern const command drain_command;
extern const command status_command;
extern const command usage_command;
extern const command check_settings_command;
extern const command explain_command;

/** @return Positional arguments. */
[[nodiscard]] std::vector<std::string> positional(const command_context &context);

/** @return The only positional argument; a usage error that contains `what` if there is not exactly one. */
[[nodiscard]] base::result<std::string> only_positional(const command_context &context, std::string_view what);

/** @return Values of a repeatable option. */
[[nodiscard]] std::set<std::string> values_of(const command_context &context, const std::string &name);

[[nodiscard]] std::string value_of(const command_context &context, const std::string &name);

/** @return Author of a change: `--author`, else the environment variable USER; a usage error if neither is set. */
[[nodiscard]] base::result<std::string> author_of(const command_context &context);

/** @return `invalid_argument` error with code `usage`. */
[[nodiscard]] base::error usage_error(std::string message);

void declare_author(cxxopts::Options &options);
void declare_risks(cxxopts::Options &options);

/** @brief Declares `--entries` for commands that read the status of entries. */
void declare_entries(cxxopts::Options &options);

} // namespace dotterelstack::cli::internal
