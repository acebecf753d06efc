#include <ostream>

#include "cli/command.hpp"
#include "config/files.hpp"
#include "config/item.hpp"
#include "config/merge.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_export(cxxopts::Options &options) {
    options.add_options()("force", "replace files with edits that were not applied");
}

/** Refuses to overwrite files with edits that are neither in force nor part of their base, since they would be lost. */
base::result<void> check_no_unapplied_edits(const std::string &directory, const config::config_state &current) {
    if (config::has_no_files(directory)) {
        return base::success();
    }
    BOOST_OUTCOME_TRY(files, config::load_files(directory));
    const auto merged = config::merge(files.values, files.base, current);
    std::string edited;
    for (const auto &it : merged.changes) {
        edited.append("\n  ").append(it.item);
    }
    for (const auto &it : merged.conflicts) {
        edited.append("\n  ").append(it.item);
    }
    if (!edited.empty()) {
        return base::fail(base::error_kind::conflict, "unapplied_edits",
                          directory + " has edits that were not applied:" + edited +
                              "\nApply them first, export to another directory, or repeat with --force to drop them.");
    }
    return base::success();
}

base::result<exit_code> run_export(command_context &context) {
    BOOST_OUTCOME_TRY(directory, only_positional(context, "directory to write"));
    BOOST_OUTCOME_TRY(current, context.declarations.read());
    if (context.options.count("force") == 0) {
        BOOST_OUTCOME_TRYV(check_no_unapplied_edits(directory, *current));
    }
    BOOST_OUTCOME_TRYV(config::save_files(directory, current->values(), config::make_base(*current)));
    context.env.out << "exported version " << current->version() << " to " << directory << '\n';
    return exit_code::success;
}

} // namespace

const command export_command{
    "export", "write the declarations in force to a directory", "DIRECTORY", true, &declare_export, &run_export};

} // namespace dotterelstack::cli::internal
