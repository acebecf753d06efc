#include <ostream>

#include "cli/command.hpp"
#include "config/files.hpp"
#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/gateway_settings.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_check(cxxopts::Options &options) {
    options.add_options()("set", "replace a field, PATH=VALUE; may be repeated",
                          cxxopts::value<std::vector<std::string>>());
}

base::result<exit_code> run_check(command_context &context) {
    const auto arguments = positional(context);
    if (arguments.size() != 2) {
        return boost::outcome_v2::failure(
            usage_error("expected a kind (entry, agent, gateway or declarations) and one file"));
    }
    const auto &file = arguments[1];
    const auto set = values_of(context, "set");
    const std::vector<std::string> overrides{set.begin(), set.end()};
    if (arguments[0] == "entry") {
        BOOST_OUTCOME_TRYV(settings::load_entry_settings(file, overrides));
    } else if (arguments[0] == "agent") {
        BOOST_OUTCOME_TRYV(settings::load_agent_settings(file, overrides));
    } else if (arguments[0] == "gateway") {
        BOOST_OUTCOME_TRYV(settings::load_gateway_settings(file, overrides));
    } else if (arguments[0] == "declarations") {
        BOOST_OUTCOME_TRYV(config::load_files(file));
    } else {
        return boost::outcome_v2::failure(usage_error("the kind is entry, agent, gateway or declarations"));
    }
    context.env.out << file << ": no problems\n";
    return exit_code::success;
}

} // namespace

const command check_settings_command{"check-settings",
                                     "check a settings file or a directory of declarations",
                                     "entry FILE | agent FILE | gateway FILE | declarations DIRECTORY",
                                     false,
                                     &declare_check,
                                     &run_check};

} // namespace dotterelstack::cli::internal
