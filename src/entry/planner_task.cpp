#include "entry/planner_task.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"
#include "config/item.hpp"
#include "log/event.hpp"
#include "order/backend_ordering.hpp"

namespace dotterelstack::entry {

namespace internal {

constexpr auto planner_round = std::chrono::milliseconds{250};
constexpr auto status_timeout = std::chrono::seconds{1};
// A status may be one round old when it arrives, so the first idle round proves nothing; two more in a row show that no
// request was under way.
constexpr unsigned idle_rounds_needed = 3;

} // namespace internal

plan_step next_plan_step(const config::planned_change &change, const std::vector<planned_backend> &backends,
                         bool config_propagated, plan_progress &progress) noexcept {
    if (change.state == config::planned_state::requested) {
        return plan_step::record_running;
    }
    if (!config_propagated) {
        progress.idle_rounds = 0;
        return plan_step::wait_for_config;
    }
    const bool busy = std::ranges::any_of(backends, [](const planned_backend &it) { return it.active > 0; });
    progress.idle_rounds = busy ? 0 : progress.idle_rounds + 1;
    if (progress.order_done || progress.order_failed) {
        return plan_step::finish;
    }
    if (progress.idle_rounds < internal::idle_rounds_needed) {
        return plan_step::wait_for_work;
    }
    return change.kind == config::planned_kind::drain ? plan_step::finish : plan_step::order;
}

planner_task::planner_task(options values, const base::clock &time, base::id_source &ids, store::object_store &store,
                           http::client &platform, transport::h2_client &agents, fleet_feed &fleet,
                           lease::lease_thread::candidate_check candidate)
    : options_{std::move(values)}, clock_{time}, ids_{ids}, store_{store}, platform_{platform}, agents_{agents},
      fleet_{fleet}, lease_{options_.lease, time, store, ids, std::move(candidate)},
      repository_{store, ids, config::default_repository_options()} {}

planner_task::~planner_task() {
    stop();
}

void planner_task::start() {
    lease_.start();
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void planner_task::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
    lease_.stop();
}

void planner_task::set_config(config::state_ptr state) {
    const std::scoped_lock lock{mutex_};
    config_ = std::move(state);
}

void planner_task::run(const std::stop_token &token) {
    std::optional<std::uint64_t> fence;
    while (!token.stop_requested()) {
        const auto authority = lease_.authority();
        const auto now = authority ? std::optional{authority->fence()} : std::nullopt;
        if (now != fence) {
            // A new term of the lease starts from the state of store and engines, not from earlier progress.
            fence = now;
            progress_.clear();
            orders_.clear();
        }
        config::state_ptr state;
        {
            const std::scoped_lock lock{mutex_};
            state = config_;
        }
        if (fence && state) {
            for (const auto &[id, change] : state->values().planned) {
                const bool open =
                    change.state == config::planned_state::requested || change.state == config::planned_state::running;
                if (open && lease_.authority()) {
                    execute(change, state);
                }
            }
        }
        base::wait_unless_stopped(token, internal::planner_round);
    }
}

std::vector<planned_backend> planner_task::backends_of(const config::planned_change &change) const {
    std::vector<planned_backend> out;
    for (const auto &it : fleet_.backends()) {
        const bool named = change.backend.empty() ? it.host == change.host : it.facts.name == change.backend;
        if (named) {
            out.push_back({it.facts.name, it.host, it.facts.agent_address, it.facts.failure_domain, true, it.active});
        }
    }
    return out;
}

bool planner_task::config_propagated(const config::state_ptr &state, const plan_progress &progress) {
    if (clock_.now() - progress.first_seen >= options_.propagation_limit) {
        return true;
    }
    return std::ranges::all_of(fleet_.peers(), [&](const std::string &address) {
        http::call_options limits;
        limits.timeout = internal::status_timeout;
        const auto answer = agents_.call(address, {"GET", "/status", {}, ""}, limits);
        if (!answer) {
            return false;
        }
        const auto body = base::parse_message(answer.value().body);
        return body.is_object() && base::field_or(body, "config_version", std::uint64_t{0}) >= state->version();
    });
}

void planner_task::execute(const config::planned_change &change, const config::state_ptr &state) {
    auto &progress = progress_[change.id];
    if (progress.first_seen == base::instant{}) {
        progress.first_seen = clock_.now();
    }
    const auto backends = backends_of(change);
    switch (next_plan_step(change, backends, config_propagated(state, progress), progress)) {
    case plan_step::record_running:
        log::write("drain_started", {{"change", change.id}, {"requested_by", change.requested_by}});
        return record(change, config::planned_state::running, "no new work; waiting for running requests");
    case plan_step::order:
        for (const auto &it : backends) {
            place_order(change, it, progress);
        }
        return;
    case plan_step::finish:
        log::write("drain_finished", {{"change", change.id}});
        return record(change, progress.order_failed ? config::planned_state::failed : config::planned_state::done,
                      progress.order_failed ? "the order failed; see the log of the agent" : "done");
    case plan_step::wait_for_config:
    case plan_step::wait_for_work:
        break;
    }
}

void planner_task::place_order(const config::planned_change &change, const planned_backend &backend,
                               plan_progress &progress) {
    const bool role = change.kind == config::planned_kind::set_role;
    const auto id = change.id + "/" + backend.name;
    auto it = orders_.find(id);
    if (it == orders_.end()) {
        std::unique_ptr<order::order_sender> sender;
        std::string key;
        if (role) {
            sender =
                std::make_unique<order::agent_order_sender>(agents_, backend.agent_address, std::chrono::seconds{1});
            key = order::journal_key(backend.name);
        } else {
            sender =
                std::make_unique<order::platform_order_sender>(platform_, options_.platform, std::chrono::seconds{1});
            key = order::platform_journal_key(backend.failure_domain, backend.host);
        }
        it = orders_.emplace(id, open_order{std::move(sender), order::order_journal{clock_, key}}).first;
    }
    auto &open = it->second;
    const auto authority = lease_.authority();
    open.journal.set_fence(authority ? std::optional{authority->fence()} : std::nullopt);
    if (!open.begun) {
        auto item = role ? order::order{id, backend.name, "set_role", change.argument, "planned"}
                         : order::make_backend_order(id, order::backend_action::stop, backend.failure_domain,
                                                     backend.host, "planned");
        open.begun = open.journal.begin(std::move(item)).has_value();
    }
    for (auto step = order::journal_step::read;
         step != order::journal_step::wait && step != order::journal_step::idle && lease_.authority();) {
        step = order::drive_journal(open.journal, store_, ids_, *open.sender, authority).step;
    }
    for (const auto &result : open.journal.take_results()) {
        if (result.item.id == id) {
            progress.order_done = progress.order_done || result.how == order::order_result::ending::done;
            progress.order_failed = progress.order_failed || result.how == order::order_result::ending::failed;
            open.begun = open.begun && result.how != order::order_result::ending::dropped;
        }
    }
}

void planner_task::record(const config::planned_change &change, config::planned_state to, std::string progress) {
    const auto build = [&](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        const auto found = current.values().planned.find(change.id);
        const bool open =
            found != current.values().planned.end() && (found->second.state == config::planned_state::requested ||
                                                        found->second.state == config::planned_state::running);
        if (!open) {
            // An operator has cancelled the change in the meantime; that is not overwritten.
            return std::vector<config::item_change>{};
        }
        auto next = found->second;
        next.state = to;
        next.progress = progress;
        return std::vector<config::item_change>{
            {config::item_name(next), nlohmann::json(found->second), nlohmann::json(next)}};
    };
    const auto done = repository_.commit("planner", build);
    if (!done) {
        log::write("store_unavailable", {{"task", "planner"}, {"code", done.error().code}});
    }
}

} // namespace dotterelstack::entry
