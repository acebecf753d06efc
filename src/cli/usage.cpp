#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/command.hpp"

namespace dotterelstack::cli::internal {

namespace {

constexpr std::string_view sealed_prefix = "usage/sealed/";
constexpr std::string_view reported_prefix = "usage/reported/";

void declare_usage(cxxopts::Options &options) {
    options.add_options()("window", "show this window only", cxxopts::value<std::string>())(
        "organisation", "show this organisation only", cxxopts::value<std::string>());
}

/** Prints the figures of a window, one per line; a window in an unknown format is printed unchanged. */
void print_window(std::ostream &out, const std::string &window, const std::string &text, bool reported,
                  const std::string &organisation) {
    const auto state = reported ? " reported " : " sealed ";
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("figures") || !value["figures"].is_array()) {
        out << window << state << text << '\n';
        return;
    }
    for (const auto &it : value["figures"]) {
        if (organisation.empty() || (it.is_object() && it.value("organisation", "") == organisation)) {
            out << window << state << it.dump() << '\n';
        }
    }
}

base::result<exit_code> run_usage(command_context &context) {
    BOOST_OUTCOME_TRY(sealed, context.env.objects.list(sealed_prefix));
    BOOST_OUTCOME_TRY(reported_objects, context.env.objects.list(reported_prefix));
    std::set<std::string> reported;
    for (const auto &it : reported_objects) {
        reported.insert(it.key.substr(reported_prefix.size()));
    }
    const auto requested_window = value_of(context, "window");
    bool found = false;
    for (const auto &it : sealed) {
        const auto window = it.key.substr(sealed_prefix.size());
        if (requested_window.empty() || requested_window == window) {
            found = true;
            print_window(context.env.out, window, it.value, reported.contains(window),
                         value_of(context, "organisation"));
        }
    }
    if (!found && !requested_window.empty()) {
        return base::fail(base::error_kind::not_found, "no_window",
                          "window " + requested_window + " is not sealed; `usage` lists the sealed windows");
    }
    return exit_code::success;
}

} // namespace

const command usage_command{"usage", "show sealed usage windows", "", true, &declare_usage, &run_usage};

} // namespace dotterelstack::cli::internal
