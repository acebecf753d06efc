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

/** @brief A parsed command line and everything a command works with. */
struct call {
    const environment &with;
    const cxxopts::ParseResult &options;
    addresses where;
    config::repository &declarations;
};

/** @brief One operator command. */
struct command {
    std::string_view name;
    std::string_view summary;
    std::string_view positional; /**< As shown in the usage line. */
    bool needs_store;
    void (*declare)(cxxopts::Options &options);
    base::result<exit_code> (*run)(call &with);
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
[[nodiscard]] std::vector<std::string> positional(const call &with);

/** @return The only positional argument, or a usage error that names it. */
[[nodiscard]] base::result<std::string> only_positional(const call &with, std::string_view what);

/** @return Values of an option that may be repeated. */
[[nodiscard]] std::set<std::string> values_of(const call &with, const std::string &name);

[[nodiscard]] std::string value_of(const call &with, const std::string &name);

/** @return Who runs the command: `--author`, else the environment variable USER; a usage error if neither is set. */
[[nodiscard]] base::result<std::string> author_of(const call &with);

/** @return `invalid_argument` error with code `usage`. */
[[nodiscard]] base::error usage_error(std::string message);

void declare_author(cxxopts::Options &options);
void declare_risks(cxxopts::Options &options);

/** @brief Declares `--entries` for commands that ask entries. */
void declare_entries(cxxopts::Options &options);

} // namespace dotterelstack::cli::internal
