#include <algorithm>
#include <ostream>

#include "cli/command.hpp"
#include "cli/fleet.hpp"
#include "cli/print.hpp"
#include "config/item.hpp"
#include "config/risk.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_drain(cxxopts::Options &options) {
    declare_author(options);
    declare_risks(options);
    declare_entries(options);
    options.add_options()("backend", "backend server to drain", cxxopts::value<std::string>())(
        "host", "host whose backend servers to drain",
        cxxopts::value<std::string>())("replace", "have the backend server replaced after the drain")(
        "set-role", "have the engine take this role after the drain", cxxopts::value<std::string>())(
        "cancel", "cancel a requested change, or end a finished drain, by its id", cxxopts::value<std::string>());
}

base::result<std::vector<config::item_change>> cancel_item(const config::config_state &current, const std::string &id) {
    const auto it = current.values().planned.find(id);
    if (it == current.values().planned.end()) {
        return base::fail(base::error_kind::invalid_argument, "no_planned_change",
                          "planned change " + id + " does not exist; `status` lists them");
    }
    auto value = it->second;
    value.state = config::planned_state::cancelled;
    return std::vector<config::item_change>{
        {config::item_name(value), nlohmann::json(it->second), nlohmann::json(value)}};
}

base::result<exit_code> cancel(command_context &context, const std::string &author, const std::string &id) {
    const auto build = [&id](const config::config_state &current) { return cancel_item(current, id); };
    BOOST_OUTCOME_TRY(committed, context.declarations.commit(author, build));
    context.env.out << "cancelled with configuration version " << committed.state->version() << '\n';
    return exit_code::success;
}

base::result<config::planned_change> make_plan(const command_context &context, const std::string &author) {
    base::id_source ids;
    config::planned_change out;
    out.id = ids.next().substr(0, 12);
    out.backend = value_of(context, "backend");
    out.host = value_of(context, "host");
    out.argument = value_of(context, "set-role");
    out.requested_by = author;
    const bool replace = context.options.count("replace") > 0;
    if (out.backend.empty() == out.host.empty() || (replace && !out.argument.empty())) {
        return boost::outcome_v2::failure(
            usage_error("name either --backend or --host, and at most one of --replace and --set-role"));
    }
    if (!out.argument.empty()) {
        out.kind = config::planned_kind::set_role;
    } else if (replace) {
        out.kind = config::planned_kind::replace;
    }
    return out;
}

/**
 * Sets the failure domain of the plan from the backend servers that the entries report. A target that no entry knows is
 * refused: it is most likely misspelt, and the change would wait for ever.
 */
base::result<void> resolve_failure_domain(config::planned_change &plan, const config::fleet_snapshot &facts) {
    const auto it = std::find_if(facts.backends.begin(), facts.backends.end(), [&plan](const auto &fact) {
        return plan.host.empty() ? fact.name == plan.backend : fact.host == plan.host;
    });
    if (it == facts.backends.end()) {
        std::string known;
        for (const auto &fact : facts.backends) {
            known.append(" ").append(plan.host.empty() ? fact.name : fact.host);
        }
        return base::fail(base::error_kind::invalid_argument, "no_backend",
                          "no entry knows " + plan.backend + plan.host + "; nothing was changed; known:" + known);
    }
    plan.failure_domain = it->failure_domain;
    return base::success();
}

bool same_target(const config::planned_change &a, const config::planned_change &b) {
    const bool unfinished = b.state == config::planned_state::requested || b.state == config::planned_state::running;
    return unfinished && a.backend == b.backend && a.host == b.host;
}

base::error already_planned(const config::planned_change &it) {
    std::string out = it.requested_by;
    out.append(" has already asked for change ").append(it.id);
    out.append(" of the same target; see `status`, or cancel it with `drain --cancel ").append(it.id).append("`");
    return {base::error_kind::conflict, "already_planned", std::move(out)};
}

base::result<exit_code> run_drain(command_context &context) {
    BOOST_OUTCOME_TRY(author, author_of(context));
    if (const auto id = value_of(context, "cancel"); !id.empty()) {
        return cancel(context, author, id);
    }
    BOOST_OUTCOME_TRY(plan, make_plan(context, author));
    const auto facts = read_fleet(context).facts();
    if (facts) {
        BOOST_OUTCOME_TRYV(resolve_failure_domain(plan, *facts));
    }
    const auto build = [&](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        for (const auto &[id, it] : current.values().planned) {
            if (same_target(plan, it)) {
                return boost::outcome_v2::failure(already_planned(it));
            }
        }
        auto after = current.values();
        after.planned[plan.id] = plan;
        const auto risks = config::find_risks(current.values(), after, facts ? &*facts : nullptr);
        if (auto unaccepted = config::not_accepted(risks, values_of(context, "accept-risk")); !unaccepted.empty()) {
            return boost::outcome_v2::failure(config::describe(unaccepted));
        }
        return std::vector<config::item_change>{{config::item_name(plan), nullptr, nlohmann::json(plan)}};
    };
    BOOST_OUTCOME_TRY(committed, context.declarations.commit(author, build));
    context.env.out << "planned change " << plan.id << " is requested with configuration version "
                    << committed.state->version() << "; `status` shows its progress\n";
    return exit_code::success;
}

} // namespace

const command drain_command{"drain",   "plan the drain of a backend server or host", "", true, &declare_drain,
                            &run_drain};

} // namespace dotterelstack::cli::internal
