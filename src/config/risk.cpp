#include "config/risk.hpp"

#include <algorithm>
#include <array>
#include <map>

#include "config/item.hpp"

namespace dotterelstack::config {

namespace internal {

/** Above this share of the remaining engine memory, requests queue up within minutes. */
constexpr double usable_share = 0.9;

bool has_active_key(const declarations &value, const std::string &organisation) {
    return std::any_of(value.keys.begin(), value.keys.end(), [&organisation](const auto &it) {
        return it.second.organisation == organisation && !it.second.withdrawn;
    });
}

bool has_row(const declarations &value, const std::string &organisation) {
    const auto it = value.rows.lower_bound({organisation, ""});
    return it != value.rows.end() && it->first.first == organisation;
}

void find_lost_access(const declarations &before, const declarations &after, std::vector<risk> &out) {
    for (const auto &[name, it] : after.organisations) {
        const bool new_here = !before.organisations.contains(name);
        if (!has_row(after, name) && (new_here || has_row(before, name))) {
            out.push_back({"organisation_without_row", "organisation/" + name,
                           "the organisation has no row and can use no service", "add a row for it to the table"});
        }
    }
    for (const auto &[name, it] : before.rows) {
        if (!after.rows.contains(name) && has_active_key(after, name.first)) {
            out.push_back({"service_lost", item_name(it),
                           "the organisation has valid keys and loses service " + name.second,
                           "keep the row until the organisation has stopped using it"});
        }
    }
}

void find_withdrawn_keys(const declarations &before, const declarations &after, std::vector<risk> &out) {
    for (const auto &[id, it] : before.keys) {
        const auto next = after.keys.find(id);
        if (!it.withdrawn && (next == after.keys.end() || next->second.withdrawn)) {
            out.push_back({"key_stops_working", "key/" + id,
                           "a key of organisation " + it.organisation + " stops working",
                           "make sure that its callers have another key"});
        }
    }
}

bool was_repeatable(const service &before, const route &after) {
    return std::any_of(before.routes.begin(), before.routes.end(), [&after](const route &it) {
        return it.method == after.method && it.path == after.path && it.repeatable;
    });
}

bool was_public(const service &before, const route &after) {
    return before.is_public || std::any_of(before.routes.begin(), before.routes.end(), [&after](const route &it) {
               return it.method == after.method && it.path == after.path && it.is_public;
           });
}

std::string subject_of(const service &owner, const route &call) {
    auto out = item_name(owner);
    return out.append(" ").append(call.method).append(" ").append(call.path);
}

void find_relaxed_services(const declarations &before, const declarations &after, std::vector<risk> &out) {
    for (const auto &[name, it] : after.services) {
        const auto old = before.services.find(name);
        if (old == before.services.end()) {
            continue;
        }
        if (it.is_public && !old->second.is_public) {
            out.push_back({"service_made_public", "service/" + name, "all its calls are served without a key",
                           "mark single routes as public instead"});
        }
        for (const auto &route : it.routes) {
            const auto subject = subject_of(it, route);
            if (route.is_public && !it.is_public && !was_public(old->second, route)) {
                out.push_back({"service_made_public", subject, "the call is served without a key",
                               "keep the route private unless everybody may call it"});
            }
            if (route.repeatable && route.method != "GET" && !was_repeatable(old->second, route)) {
                out.push_back({"route_made_repeatable", subject, "the call may run more than once after a failure",
                               "keep it not repeatable unless a second run has no effect"});
            }
        }
    }
}

bool takes_out_of_service(const planned_change &plan, const backend_snapshot &backend) {
    const bool open = plan.state == planned_state::requested || plan.state == planned_state::running;
    const bool drained = plan.kind == planned_kind::drain && plan.state == planned_state::done;
    return (open || drained) && (plan.host.empty() ? plan.backend == backend.name : plan.host == backend.host);
}

bool is_out_of_service(const declarations &value, const backend_snapshot &backend) {
    return std::any_of(value.planned.begin(), value.planned.end(),
                       [&backend](const auto &it) { return takes_out_of_service(it.second, backend); });
}

/** Engine memory of a service before and after the planned changes. */
struct service_capacity {
    std::uint64_t used{0};
    std::uint64_t before{0};
    std::uint64_t after{0};
};

void find_capacity_risks(const declarations &before, const declarations &after, const fleet_snapshot &fleet,
                         std::vector<risk> &out) {
    using place = std::pair<std::string, std::string>;
    std::map<place, std::pair<std::size_t, std::size_t>> engines; // model and failure domain: before, after
    std::map<std::string, service_capacity> capacities;
    for (const auto &it : fleet.backends) {
        const bool in_service_before = !it.draining && !is_out_of_service(before, it);
        const bool in_service_after = !it.draining && !is_out_of_service(after, it);
        for (const auto &model : it.models) {
            auto &n = engines[{model, it.failure_domain}];
            n.first += in_service_before ? 1 : 0;
            n.second += in_service_after ? 1 : 0;
        }
        auto &capacity = capacities[it.service];
        capacity.used += it.used_blocks;
        capacity.before += in_service_before ? it.total_blocks : 0;
        capacity.after += in_service_after ? it.total_blocks : 0;
    }
    for (const auto &[name, n] : engines) {
        if (n.first > 0 && n.second == 0) {
            out.push_back({"model_without_engine", name.first + " in " + name.second,
                           "no engine of this failure domain serves the model any more",
                           "start another engine there first"});
        }
    }
    for (const auto &[name, it] : capacities) {
        if (it.after<it.before &&static_cast<double>(it.used)> usable_share * static_cast<double>(it.after)) {
            out.push_back({"capacity_below_demand", "service/" + name,
                           std::to_string(it.used) + " blocks are in use and " + std::to_string(it.after) + " of " +
                               std::to_string(it.before) + " remain",
                           "start engines first or wait for lower demand"});
        }
    }
}

void find_unserved_models(const declarations &before, const declarations &after, const fleet_snapshot &fleet,
                          std::vector<risk> &out) {
    for (const auto &[name, it] : after.services) {
        const auto old = before.services.find(name);
        for (const auto &model : it.models) {
            const bool is_new =
                old == before.services.end() ||
                std::find(old->second.models.begin(), old->second.models.end(), model) == old->second.models.end();
            const bool served = std::any_of(fleet.backends.begin(), fleet.backends.end(), [&model](const auto &server) {
                return std::find(server.models.begin(), server.models.end(), model) != server.models.end();
            });
            if (is_new && !served) {
                out.push_back({"model_without_engine", model + " of " + item_name(it), "no engine serves the new model",
                               "start an engine with the model first"});
            }
        }
    }
}

struct limit_check {
    std::string_view name;
    double (*limit)(const row &);
    double (*use)(const row_use &);
};

constexpr auto limit_checks = std::to_array<limit_check>({
    {"concurrency", [](const row &it) { return static_cast<double>(it.concurrency); },
     [](const row_use &it) { return static_cast<double>(it.running); }},
    {"requests_per_second", [](const row &it) { return it.requests_per_second; },
     [](const row_use &it) { return it.requests_per_second; }},
    {"prompt_tokens_per_second", [](const row &it) { return it.prompt_tokens_per_second; },
     [](const row_use &it) { return it.prompt_tokens_per_second; }},
    {"generated_tokens_per_second", [](const row &it) { return it.generated_tokens_per_second; },
     [](const row_use &it) { return it.generated_tokens_per_second; }},
});

void find_limits_below_use(const declarations &before, const declarations &after, const fleet_snapshot &fleet,
                           std::vector<risk> &out) {
    for (const auto &use : fleet.rows) {
        const auto old = before.rows.find({use.organisation, use.service});
        const auto next = after.rows.find({use.organisation, use.service});
        if (old == before.rows.end() || next == after.rows.end()) {
            continue;
        }
        for (const auto &it : limit_checks) {
            const auto limit = it.limit(next->second);
            if (limit < it.limit(old->second) && limit < it.use(use)) {
                out.push_back({"limit_below_use", item_name(next->second),
                               std::string{it.name} + " falls to " + nlohmann::json(limit).dump() + " and " +
                                   nlohmann::json(it.use(use)).dump() + " are in use now",
                               "lower it when the organisation uses less, or accept that its requests are refused"});
            }
        }
    }
}

bool depends_on_fleet(const declarations &before, const declarations &after) {
    const bool lowered = std::any_of(after.rows.begin(), after.rows.end(), [&before](const auto &it) {
        const auto old = before.rows.find(it.first);
        return old != before.rows.end() &&
               std::any_of(limit_checks.begin(), limit_checks.end(),
                           [&](const auto &check) { return check.limit(it.second) < check.limit(old->second); });
    });
    const bool planned = std::any_of(after.planned.begin(), after.planned.end(), [&before](const auto &it) {
        return it.second.state == planned_state::requested && !before.planned.contains(it.first);
    });
    const bool models = std::any_of(after.services.begin(), after.services.end(), [&before](const auto &it) {
        const auto old = before.services.find(it.first);
        return !it.second.models.empty() && (old == before.services.end() || old->second.models != it.second.models);
    });
    return lowered || planned || models;
}

} // namespace internal

std::vector<risk> find_risks(const declarations &before, const declarations &after, const fleet_snapshot *fleet) {
    std::vector<risk> out;
    internal::find_lost_access(before, after, out);
    internal::find_withdrawn_keys(before, after, out);
    internal::find_relaxed_services(before, after, out);
    if (fleet != nullptr) {
        internal::find_capacity_risks(before, after, *fleet, out);
        internal::find_unserved_models(before, after, *fleet, out);
        internal::find_limits_below_use(before, after, *fleet, out);
    } else if (internal::depends_on_fleet(before, after)) {
        out.push_back({"present_use_unknown", "fleet",
                       "no entry reported its backend servers and current use, so capacity and limits were not checked",
                       "repeat when the entries are reachable, or give the address of the platform with --platform"});
    }
    return out;
}

std::vector<risk> not_accepted(const std::vector<risk> &risks, const std::set<std::string> &accepted) {
    std::vector<risk> out;
    std::copy_if(risks.begin(), risks.end(), std::back_inserter(out), [&accepted](const risk &it) {
        return !accepted.contains(it.name) && !accepted.contains(it.name + ":" + it.subject);
    });
    return out;
}

base::error describe(const std::vector<risk> &risks) {
    std::string out;
    for (const auto &it : risks) {
        out += it.name + ": " + it.subject + ": " + it.detail + "; " + it.remedy + ", or repeat with --accept-risk " +
               it.name + "\n";
    }
    out += "Nothing was changed.";
    return {base::error_kind::refused, "risk_not_accepted", std::move(out)};
}

} // namespace dotterelstack::config
