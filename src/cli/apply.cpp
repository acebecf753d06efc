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

/** The declarations that result from a merge, with the risks of the step. */
struct outcome {
    config::merge_result merged;
    std::vector<config::risk> risks;
};

base::result<outcome> evaluate(const config::declaration_files &files, const config::config_state &current,
                               const std::set<std::string> &overwrite, const config::fleet_snapshot *facts) {
    outcome out{config::merge(files.values, files.base, current, overwrite), {}};
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

void print_kept(const call &with, const std::vector<std::string> &kept) {
    for (const auto &it : kept) {
        with.with.out << "= " << it << " was changed by others; the files are older and leave it\n";
    }
}

base::result<exit_code> run_plan(call &with) {
    BOOST_OUTCOME_TRY(directory, only_positional(with, "directory of declarations"));
    BOOST_OUTCOME_TRY(files, config::load_files(directory));
    BOOST_OUTCOME_TRY(current, with.declarations.read());
    const auto facts = read_fleet(with).facts();
    BOOST_OUTCOME_TRY(result, evaluate(files, *current, values_of(with, "overwrite"), facts ? &*facts : nullptr));
    print_changes(with.with.out, result.merged.changes);
    print_kept(with, result.merged.kept);
    print_risks(with.with.out, result.risks);
    with.with.out << result.merged.changes.size() << " changes, " << result.merged.conflicts.size() << " conflicts, "
                  << result.risks.size() << " risks; the configuration in force has version " << current->version()
                  << ", the files are based on " << files.base.version << '\n';
    if (!result.merged.conflicts.empty()) {
        return boost::outcome_v2::failure(config::describe(result.merged.conflicts));
    }
    if (auto open = config::not_accepted(result.risks, values_of(with, "accept-risk")); !open.empty()) {
        return boost::outcome_v2::failure(config::describe(open));
    }
    return exit_code::success;
}

base::result<exit_code> run_apply(call &with) {
    BOOST_OUTCOME_TRY(directory, only_positional(with, "directory of declarations"));
    BOOST_OUTCOME_TRY(author, author_of(with));
    BOOST_OUTCOME_TRY(files, config::load_files(directory));
    const auto overwrite = values_of(with, "overwrite");
    const auto accepted = values_of(with, "accept-risk");
    const auto facts = read_fleet(with).facts();
    outcome last;
    const auto build = [&](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        BOOST_OUTCOME_TRY(result, evaluate(files, current, overwrite, facts ? &*facts : nullptr));
        if (!result.merged.conflicts.empty()) {
            return boost::outcome_v2::failure(config::describe(result.merged.conflicts));
        }
        if (auto open = config::not_accepted(result.risks, accepted); !open.empty()) {
            return boost::outcome_v2::failure(config::describe(open));
        }
        last = std::move(result);
        return last.merged.changes;
    };
    bool first = true;
    for (bool complete = false; !complete; first = false) {
        BOOST_OUTCOME_TRY(done, with.declarations.commit(author, build));
        complete = done.complete;
        if (first) {
            print_changes(with.with.out, last.merged.changes);
        }
        BOOST_OUTCOME_TRYV(config::save_base(directory, config::advance_base(files.base, files.values, *done.state)));
        if (done.change_id.empty()) {
            with.with.out << "nothing to change";
        } else {
            with.with.out << "committed as change " << done.change_id;
        }
        with.with.out << "; the configuration has version " << done.state->version() << '\n';
    }
    print_kept(with, last.merged.kept);
    print_risks(with.with.out, last.risks);
    return exit_code::success;
}

} // namespace

const command apply_command{"apply",   "commit the declarations of a directory", "DIRECTORY", true, &declare_apply,
                            &run_apply};
const command plan_command{"plan",   "show what apply would change and break", "DIRECTORY", true, &declare_apply,
                           &run_plan};

} // namespace dotterelstack::cli::internal
