#include "cli/run.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "cli/command.hpp"

namespace dotterelstack::cli {

namespace internal {

const std::array commands{
    &apply_command,  &plan_command,  &export_command,         &get_command,    &key_command, &drain_command,
    &status_command, &usage_command, &check_settings_command, &explain_command};

constexpr auto names = std::to_array<std::string_view>(
    {"apply", "plan", "export", "get", "key", "drain", "status", "usage", "check-settings", "explain"});

/** @return Values of an option as given; cxxopts would split vector values at commas, which JSON values contain. */
std::vector<std::string> raw_values_of(const command_context &context, const std::string &name) {
    std::vector<std::string> out;
    for (const auto &it : context.options.arguments()) {
        if (it.key() == name) {
            out.push_back(it.value());
        }
    }
    return out;
}

std::vector<std::string> positional(const command_context &context) {
    return raw_values_of(context, "arguments");
}

base::result<std::string> only_positional(const command_context &context, std::string_view what) {
    auto values = positional(context);
    if (values.size() != 1) {
        return boost::outcome_v2::failure(usage_error("expected exactly one " + std::string{what}));
    }
    return std::move(values.front());
}

std::set<std::string> values_of(const command_context &context, const std::string &name) {
    const auto values = raw_values_of(context, name);
    return {values.begin(), values.end()};
}

std::string value_of(const command_context &context, const std::string &name) {
    return context.options.count(name) > 0 ? context.options[name].as<std::string>() : std::string{};
}

base::result<std::string> author_of(const command_context &context) {
    auto out = value_of(context, "author");
    if (const char *user = std::getenv("USER"); out.empty() && user != nullptr) {
        out = user;
    }
    if (out.empty()) {
        return boost::outcome_v2::failure(
            usage_error("no author: pass --author or set USER, so that others know whom to ask"));
    }
    return out;
}

base::error usage_error(std::string message) {
    return {base::error_kind::invalid_argument, "usage", std::move(message)};
}

void declare_author(cxxopts::Options &options) {
    options.add_options()("author", "who asks for the change (default: USER)", cxxopts::value<std::string>());
}

void declare_risks(cxxopts::Options &options) {
    options.add_options()("accept-risk", "accept a risk, NAME or NAME:SUBJECT; may be repeated",
                          cxxopts::value<std::vector<std::string>>());
}

void declare_entries(cxxopts::Options &options) {
    options.add_options()("entries", "addresses of entries to ask besides the platform's host list",
                          cxxopts::value<std::vector<std::string>>());
}

exit_code exit_code_for(const base::error &ec) {
    if (ec.kind == base::error_kind::invalid_argument || ec.code == "file_unreadable") {
        return exit_code::usage;
    }
    const bool refused = ec.kind == base::error_kind::conflict || ec.kind == base::error_kind::refused;
    return refused ? exit_code::refused : exit_code::failure;
}

std::optional<std::string> find_address(std::span<const std::string_view> arguments, std::string_view option,
                                        const char *variable) {
    for (std::size_t it = 0; it < arguments.size(); ++it) {
        if (arguments[it] == option && it + 1 < arguments.size()) {
            return std::string{arguments[it + 1]};
        }
        if (arguments[it].starts_with(option) && arguments[it].substr(option.size()).starts_with('=')) {
            return std::string{arguments[it].substr(option.size() + 1)};
        }
    }
    const char *value = std::getenv(variable);
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

void print_overview(std::ostream &out) {
    out << "Usage: dotterelstack COMMAND [ARGUMENTS]\n\nOperator commands:\n";
    for (const auto *it : commands) {
        out << "  " << it->name << std::string(16 - it->name.size(), ' ') << it->summary << '\n';
    }
    out << "\nEvery command explains its arguments with --help.\n"
           "Exit codes: 0 success, 1 failure, 2 usage or settings error, 3 conflict or refused risk.\n";
}

cxxopts::Options declare(const command &it) {
    cxxopts::Options out{"dotterelstack " + std::string{it.name}, std::string{it.summary}};
    out.custom_help("[OPTIONS]");
    out.positional_help(std::string{it.positional});
    out.add_options()("h,help", "show this help")("version", "show the version of the program");
    if (it.needs_store) {
        out.add_options()("store", "address of the object store (default: DOTTERELSTACK_STORE)",
                          cxxopts::value<std::string>());
        out.add_options()("platform", "address of the platform (default: DOTTERELSTACK_PLATFORM)",
                          cxxopts::value<std::string>());
    }
    it.declare(out);
    out.add_options("positional")("arguments", "", cxxopts::value<std::vector<std::string>>());
    out.parse_positional({"arguments"});
    return out;
}

base::result<exit_code> execute(const command &it, std::span<const std::string_view> arguments,
                                const environment &env) {
    auto options = declare(it);
    std::vector<std::string> texts{arguments.begin(), arguments.end()};
    std::vector<const char *> pointers;
    pointers.reserve(texts.size());
    std::transform(texts.begin(), texts.end(), std::back_inserter(pointers),
                   [](const auto &text) { return text.c_str(); });
    const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (parsed.count("help") > 0) {
        env.out << options.help({""});
        return exit_code::success;
    }
    if (parsed.count("version") > 0) {
        env.out << "dotterelstack " << DOTTERELSTACK_VERSION << '\n';
        return exit_code::success;
    }
    const auto endpoints = find_addresses(arguments);
    if (it.needs_store && !endpoints.store) {
        return boost::outcome_v2::failure(usage_error("name the object store with --store or DOTTERELSTACK_STORE"));
    }
    base::id_source ids;
    auto settings = config::default_repository_options();
    settings.sleep = env.sleep;
    config::repository declarations{env.objects, ids, settings};
    command_context context{env, parsed, endpoints, declarations};
    return it.run(context);
}

} // namespace internal

std::span<const std::string_view> command_names() noexcept {
    return internal::names;
}

addresses find_addresses(std::span<const std::string_view> arguments) {
    return {internal::find_address(arguments, "--store", "DOTTERELSTACK_STORE"),
            internal::find_address(arguments, "--platform", "DOTTERELSTACK_PLATFORM")};
}

int run(std::span<const std::string_view> arguments, const environment &env) {
    const auto name = arguments.empty() ? std::string_view{} : arguments.front();
    if (name == "--version") {
        env.out << "dotterelstack " << DOTTERELSTACK_VERSION << '\n';
        return static_cast<int>(exit_code::success);
    }
    const auto it = std::find_if(internal::commands.begin(), internal::commands.end(),
                                 [name](const auto *command) { return command->name == name; });
    if (it == internal::commands.end()) {
        const bool help = name == "--help" || name == "-h";
        internal::print_overview(help ? env.out : env.err);
        return static_cast<int>(help ? exit_code::success : exit_code::usage);
    }
    base::result<exit_code> outcome = exit_code::success;
    try {
        outcome = internal::execute(**it, arguments, env);
    } catch (const cxxopts::exceptions::exception &ec) {
        outcome = boost::outcome_v2::failure(internal::usage_error(ec.what()));
    }
    if (outcome) {
        return static_cast<int>(outcome.value());
    }
    env.err << "dotterelstack " << name << ": " << outcome.error().message << '\n';
    if (outcome.error().code == "usage") {
        env.err << "See dotterelstack " << name << " --help.\n";
    }
    return static_cast<int>(internal::exit_code_for(outcome.error()));
}

int run(std::span<const std::string_view> arguments, store::object_store &objects, http::client &client,
        entry_status_source &statuses, std::ostream &out, std::ostream &err) {
    const base::boottime_clock clock;
    return run(arguments, {objects, client, statuses, out, err, clock,
                           [](base::duration wait) { std::this_thread::sleep_for(wait); }});
}

} // namespace dotterelstack::cli
