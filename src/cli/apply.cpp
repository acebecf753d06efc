#include <ostream>

#include "cli/command.hpp"
#include "cli/fleet.hpp"
#include "cli/print.hpp"
#include "config/files.hpp"
#include "config/item.hpp"
#include "config/risk.hpp"
#include "config/validation.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_apply(cxxopts::Options &options) {
    declare_author(options);
    declare_risks(options);
    declare_entries(options);
    options.add_options()("overwrite", "replace a newer edit, ITEM@VERSION as a conflict names it; may be repeated",
                          cxxopts::value<std::vector<std::string>>());
}

/** Result of a merge with the declarations in force, and the risks of applying it. */
struct merge_evaluation {
    config::merge_result merged;
    std::vector<config::risk> risks;
};

base::result<merge_evaluation> evaluate(const config::declaration_files &files, const config::config_state &current,
                                        const std::set<std::string> &overwrite, const config::fleet_snapshot *facts) {
    merge_evaluation out{config::merge(files.values, files.base, current, overwrite), {}};
    auto after = current.values();
    for (const auto &it : out.merged.changes) {
        BOOST_OUTCOME_TRYV(config::set_item(after, it.item, it.after));
    }
    settings::problem_list problems{"declarations after the change"};
    config::validate(after, problems);
    config::validate_step(current.values(), after, problems);
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("declarations_invalid"));
    }
    out.risks = config::find_risks(current.values(), after, facts);
    return out;
}

void print_kept(const command_context &context, const std::vector<std::string> &kept) {
    for (const auto &it : kept) {
        context.env.out << "= " << it
                        << " was changed by others; the files have the older value, which is not applied\n";
    }
}

base::result<exit_code> run_plan(command_context &context) {
    BOOST_OUTCOME_TRY(directory, only_positional(context, "directory of declarations"));
    BOOST_OUTCOME_TRY(files, config::load_files(directory));
    BOOST_OUTCOME_TRY(current, context.declarations.read());
    const auto facts = read_fleet(context).facts();
    BOOST_OUTCOME_TRY(result, evaluate(files, *current, values_of(context, "overwrite"), facts ? &*facts : nullptr));
    print_changes(context.env.out, result.merged.changes);
    print_kept(context, result.merged.kept);
    print_risks(context.env.out, result.risks);
    context.env.out << result.merged.changes.size() << " changes, " << result.merged.conflicts.size() << " conflicts, "
                    << result.risks.size() << " risks; the configuration in force has version " << current->version()
                    << ", the files are based on " << files.base.version << '\n';
    if (!result.merged.conflicts.empty()) {
        return boost::outcome_v2::failure(config::describe(result.merged.conflicts));
    }
    if (auto unaccepted = config::not_accepted(result.risks, values_of(context, "accept-risk")); !unaccepted.empty()) {
        return boost::outcome_v2::failure(config::describe(unaccepted));
    }
    return exit_code::success;
}

base::result<exit_code> run_apply(command_context &context) {
    BOOST_OUTCOME_TRY(directory, only_positional(context, "directory of declarations"));
    BOOST_OUTCOME_TRY(author, author_of(context));
    BOOST_OUTCOME_TRY(files, config::load_files(directory));
    const auto overwrite = values_of(context, "overwrite");
    const auto accepted = values_of(context, "accept-risk");
    const auto facts = read_fleet(context).facts();
    merge_evaluation last;
    const auto build = [&](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        BOOST_OUTCOME_TRY(result, evaluate(files, current, overwrite, facts ? &*facts : nullptr));
        if (!result.merged.conflicts.empty()) {
            return boost::outcome_v2::failure(config::describe(result.merged.conflicts));
        }
        if (auto unaccepted = config::not_accepted(result.risks, accepted); !unaccepted.empty()) {
            return boost::outcome_v2::failure(config::describe(unaccepted));
        }
        last = std::move(result);
        return last.merged.changes;
    };
    bool first = true;
    for (bool complete = false; !complete; first = false) {
        BOOST_OUTCOME_TRY(committed, context.declarations.commit(author, build));
        complete = committed.complete;
        if (first) {
            print_changes(context.env.out, last.merged.changes);
        }
        BOOST_OUTCOME_TRYV(
            config::save_base(directory, config::advance_base(files.base, files.values, *committed.state)));
        if (committed.change_id.empty()) {
            context.env.out << "nothing to change";
        } else {
            context.env.out << "committed as change " << committed.change_id;
        }
        context.env.out << "; the configuration has version " << committed.state->version() << '\n';
    }
    print_kept(context, last.merged.kept);
    print_risks(context.env.out, last.risks);
    return exit_code::success;
}

} // namespace

const command apply_command{"apply",   "commit the declarations of a directory", "DIRECTORY", true, &declare_apply,
                            &run_apply};
const command plan_command{"plan",   "show what apply would change and break", "DIRECTORY", true, &declare_apply,
                           &run_plan};

} // namespace dotterelstack::cli::internal
