#include "settings/agent_settings.hpp"

#include <array>
#include <set>

#include "settings/file.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::settings {

namespace internal {

struct agent_time {
    std::string_view name;
    base::duration agent_timings::*member;
    range<double> milliseconds;
};

constexpr auto agent_times = std::to_array<agent_time>({
    {"load_interval_ms", &agent_timings::load_interval, {20, 60'000}},
    {"ping_interval_ms", &agent_timings::ping_interval, {50, 10'000}},
    {"ping_deadline_ms", &agent_timings::ping_deadline, {100, 60'000}},
    {"store_timeout_ms", &agent_timings::store_timeout, {50, 60'000}},
    {"store_retry_ms", &agent_timings::store_retry, {10, 60'000}},
    {"backend_connect_ms", &agent_timings::backend_connect, {10, 60'000}},
    {"backend_idle_ms", &agent_timings::backend_idle, {100, 3'600'000}},
    {"cancel_memory_ms", &agent_timings::cancel_memory, {1000, 86'400'000}},
    {"drain_deadline_ms", &agent_timings::drain_deadline, {1000, 86'400'000}},
});

void read_backend(object_reader &in, const agent_settings &agent, backend_settings &out) {
    out.failure_domain = agent.failure_domain;
    in.required("name", out.name, rules::name);
    in.required("service", out.service, rules::name);
    out.kind = in.required_choice("kind", {"model", "plain"}) == 0 ? backend_kind::model : backend_kind::plain;
    in.required("address", out.address, rules::peer_address);
    in.optional("models", out.models, rules::name);
    in.optional("failure_domain", out.failure_domain, rules::name);
    in.optional("honours_fence", out.honours_fence);
    if (out.kind == backend_kind::model && out.models.empty()) {
        in.report("models", "none", "at least one model of the engine", "list the models that the engine has loaded");
    }
    if (out.kind == backend_kind::plain && !out.models.empty()) {
        in.report("models", "some", "none for a plain service", "remove the models or correct the kind");
    }
}

void read_agent(object_reader &in, agent_settings &out) {
    in.required("host", out.host, rules::name);
    in.required("failure_domain", out.failure_domain, rules::name);
    in.required("listen", out.listen, rules::listen_address);
    in.required("store", out.store, rules::peer_address);
    std::set<std::string> names;
    in.required_list("backends", [&](object_reader &it) {
        backend_settings backend;
        read_backend(it, out, backend);
        if (!names.insert(backend.name).second) {
            it.report("name", "\"" + backend.name + "\" twice", "a name used once on this host", "rename one of them");
        }
        out.backends.push_back(std::move(backend));
    });
    in.optional_object("timings", [&out](object_reader &it) {
        for (const auto &time : agent_times) {
            it.optional(time.name, out.timings.*time.member, time.milliseconds);
        }
        if (out.timings.ping_deadline < out.timings.ping_interval) {
            it.report("ping_deadline_ms", "", "at least ping_interval_ms",
                      "raise it, or connections close before the first answer is due");
        }
    });
    in.finish();
}

} // namespace internal

base::result<agent_settings> parse_agent_settings(std::string_view file, std::string_view text,
                                                  const std::vector<std::string> &overrides) {
    problem_list problems{file};
    auto value = parse_json(text, problems);
    agent_settings out;
    if (!value.is_discarded()) {
        apply_overrides(value, overrides, problems);
        object_reader in{value, "", problems};
        internal::read_agent(in, out);
    }
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("settings_invalid"));
    }
    return out;
}

base::result<agent_settings> load_agent_settings(const std::string &path, const std::vector<std::string> &overrides) {
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_agent_settings(path, text, overrides);
}

} // namespace dotterelstack::settings
