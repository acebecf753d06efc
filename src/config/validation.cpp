#include "config/validation.hpp"

#include <set>

#include "config/item.hpp"

namespace dotterelstack::config {

namespace internal {

using settings::problem_list;

void check_services(const declarations &value, problem_list &problems) {
    std::map<std::string, std::string> served;
    for (const auto &[name, it] : value.services) {
        const auto item = item_name(it);
        if ((it.kind == service_kind::model) == it.models.empty()) {
            problems.add({item + " models", it.models.empty() ? "none" : "some",
                          it.kind == service_kind::model ? "at least one model" : "no model of a plain service",
                          "correct the models or the kind"});
        }
        for (const auto &model : it.models) {
            const auto [other, added] = served.emplace(model, name);
            if (!added) {
                problems.add({item + " models", "\"" + model + "\", also of service " + other->second,
                              "each model once, because requests name only the model", "remove it from one of them"});
            }
        }
        std::set<std::pair<std::string, std::string>> routes;
        for (const auto &route : it.routes) {
            if (!routes.emplace(route.method, route.path).second) {
                problems.add({item + " routes", route.method + " " + route.path + " twice", "each route once",
                              "remove one of them"});
            }
            const auto rest = route.path.find("**");
            if (rest != std::string::npos && (rest + 2 != route.path.size() || route.path[rest - 1] != '/')) {
                problems.add(
                    {item + " routes", route.path, "'**' only as the last segment", "use '*' for one segment"});
            }
        }
    }
}

void check_keys(const declarations &value, problem_list &problems) {
    std::map<std::string, std::string> hashes;
    for (const auto &[id, it] : value.keys) {
        if (!value.organisations.contains(it.organisation)) {
            problems.add({item_name(it) + " organisation", "\"" + it.organisation + "\"", "a declared organisation",
                          "declare the organisation or correct the name"});
        }
        const auto [other, added] = hashes.emplace(it.sha256, id);
        if (!added) {
            problems.add({item_name(it) + " sha256", "the hash of key " + other->second, "a unique hash",
                          "create a new key with `key create`"});
        }
    }
}

void check_tokens(const row &it, service_kind kind, problem_list &problems) {
    const bool none = it.prompt_tokens_per_second == 0 && it.generated_tokens_per_second == 0;
    const bool both = it.prompt_tokens_per_second > 0 && it.generated_tokens_per_second > 0;
    if (kind == service_kind::model ? !both : !none) {
        problems.add({item_name(it) + " tokens per second", both ? "rates" : "0",
                      kind == service_kind::model ? "both rates above 0 for a model service" : "0 for a plain service",
                      "correct prompt_tokens_per_second and generated_tokens_per_second"});
    }
}

void check_rows(const declarations &value, problem_list &problems) {
    for (const auto &[name, it] : value.rows) {
        if (!value.organisations.contains(it.organisation)) {
            problems.add({item_name(it) + " organisation", "\"" + it.organisation + "\"", "a declared organisation",
                          "declare the organisation or correct the name"});
        }
        const auto service = value.services.find(it.service);
        if (service == value.services.end()) {
            problems.add({item_name(it) + " service", "\"" + it.service + "\"", "a declared service",
                          "declare the service or correct the name"});
        } else {
            check_tokens(it, service->second.kind, problems);
        }
    }
}

void check_planned(const declarations &value, problem_list &problems) {
    for (const auto &[id, it] : value.planned) {
        if (it.backend.empty() == it.host.empty()) {
            problems.add({item_name(it), it.backend.empty() ? "neither" : "both", "either a backend or a host",
                          "name what is to change"});
        }
        if ((it.kind == planned_kind::set_role) == it.argument.empty()) {
            problems.add({item_name(it) + " argument", "\"" + it.argument + "\"",
                          "the new role for set_role, otherwise nothing", "correct the argument or the kind"});
        }
    }
}

bool finished(planned_state value) {
    return value == planned_state::done || value == planned_state::failed || value == planned_state::cancelled;
}

void check_key_step(const key &before, const key *after, problem_list &problems) {
    const auto item = item_name(before);
    if (after == nullptr) {
        problems.add({item, "removed", "a key that stays listed", "set \"withdrawn\": true instead"});
    } else if (after->organisation != before.organisation || after->sha256 != before.sha256) {
        problems.add({item, "another organisation or hash", "those it was created with", "create a new key"});
    } else if (before.withdrawn && !after->withdrawn) {
        problems.add({item, "withdrawn turned off", "a withdrawn key stays withdrawn", "create a new key"});
    }
}

void check_planned_step(const planned_change &before, const planned_change *after, problem_list &problems) {
    const auto item = item_name(before);
    if (after == nullptr) {
        if (!finished(before.state)) {
            problems.add({item, "removed", "a finished or cancelled change", "set its state to \"cancelled\" first"});
        }
        return;
    }
    if (after->kind != before.kind || after->backend != before.backend || after->host != before.host ||
        after->argument != before.argument) {
        problems.add({item, "another kind or target", "those it was requested with", "request a new change"});
    }
    // Operators return drained backend servers to service by cancelling the finished drain.
    const bool drain_ended = before.kind == planned_kind::drain && before.state == planned_state::done &&
                             after->state == planned_state::cancelled;
    if (finished(before.state) && after->state != before.state && !drain_ended) {
        problems.add({item + " state", std::string{to_text(after->state)}, "a finished change stays finished",
                      "request a new change"});
    }
}

template<typename Map>
const typename Map::mapped_type *find_in(const Map &values, const std::string &name) {
    const auto it = values.find(name);
    return it == values.end() ? nullptr : &it->second;
}

} // namespace internal

void validate(const declarations &value, settings::problem_list &problems) {
    internal::check_services(value, problems);
    internal::check_keys(value, problems);
    internal::check_rows(value, problems);
    internal::check_planned(value, problems);
}

void validate_step(const declarations &before, const declarations &after, settings::problem_list &problems) {
    for (const auto &[id, it] : before.keys) {
        internal::check_key_step(it, internal::find_in(after.keys, id), problems);
    }
    for (const auto &[id, it] : before.planned) {
        internal::check_planned_step(it, internal::find_in(after.planned, id), problems);
    }
}

} // namespace dotterelstack::config
