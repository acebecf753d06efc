#include "entry/fleet_feed.hpp"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

// An agent that has not answered for this long counts as failed: two missed rounds and a ping deadline.
constexpr auto agent_timeout = std::chrono::milliseconds{2500};
// Lowest rate at which the list of hosts, which grows with the site, is waited for, in bytes a second.
constexpr std::size_t host_list_rate = std::size_t{64} << 10U;
constexpr auto status_timeout = std::chrono::milliseconds{800};
// Block size of the engines in tokens, see section 1.2 of the design.
constexpr std::uint32_t block_tokens = 1024;

/** Collects the answers of one round of status calls. */
struct status_round {
    std::mutex mutex;
    std::condition_variable done;
    std::size_t waiting{0};
    std::map<std::string, std::string> bodies;
};

routing::backend_role to_role(std::string_view text) {
    if (text == "prefill") {
        return routing::backend_role::prefill;
    }
    return text == "decode" ? routing::backend_role::decode : routing::backend_role::mixed;
}

backend_status to_status(const json &it, const listed_host &host, const std::string &incarnation) {
    backend_status out;
    out.host = host.host;
    out.active = base::field_or(it, "active", std::uint64_t{0});
    auto &facts = out.facts;
    facts.name = base::field_or(it, "name", std::string{});
    facts.agent_address = host.address;
    facts.incarnation = incarnation;
    facts.failure_domain = host.failure_domain;
    facts.service = base::field_or(it, "service", std::string{});
    facts.models = base::field_or(it, "models", std::vector<std::string>{});
    facts.healthy = base::field_or(it, "healthy", false);
    facts.block_tokens = block_tokens;
    if (base::field_or(it, "kind", std::string{"model"}) == "plain") {
        facts.role = routing::backend_role::plain;
        return out;
    }
    facts.role = to_role(base::field_or(it, "role", std::string{"mixed"}));
    facts.total_blocks = base::field_or(it, "total_blocks", 0U);
    out.has_report = true;
    out.report = {.seq = base::field_or(it, "report_seq", std::uint64_t{0}),
                  .running = base::field_or(it, "running", 0U),
                  .queued = base::field_or(it, "queued", 0U),
                  .free_blocks = base::field_or(it, "free_blocks", 0U),
                  .age = std::chrono::milliseconds{base::field_or(it, "age_ms", 0U)}};
    return out;
}

} // namespace internal

fleet_feed::fleet_feed(options values, const base::clock &time, http::client &client, transport::h2_client &agents,
                       event_ring &events)
    : options_{std::move(values)}, clock_{time}, client_{client}, agents_{agents}, events_{events} {}

fleet_feed::~fleet_feed() {
    stop();
}

void fleet_feed::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void fleet_feed::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

std::vector<std::string> fleet_feed::peers() const {
    std::vector<std::string> out;
    for (const auto &it : entries()) {
        out.push_back(it.address);
    }
    return out;
}

std::vector<peer_entry> fleet_feed::entries() const {
    std::vector<peer_entry> out;
    const std::scoped_lock lock{mutex_};
    for (const auto &it : hosts_) {
        if (it.role == "entry" && it.address != options_.self) {
            out.push_back({it.host, it.address, it.failure_domain, !it.leaving});
        }
    }
    for (const auto &address : options_.static_peers) {
        if (std::ranges::find(out, address, &peer_entry::address) == out.end() && address != options_.self) {
            out.push_back({{}, address, {}, false});
        }
    }
    return out;
}

std::vector<listed_host> fleet_feed::hosts() const {
    const std::scoped_lock lock{mutex_};
    return hosts_;
}

std::vector<backend_status> fleet_feed::backends() const {
    const std::scoped_lock lock{mutex_};
    return published_;
}

void fleet_feed::set_config(config::state_ptr state) {
    {
        const std::scoped_lock lock{mutex_};
        config_ = std::move(state);
    }
}

void fleet_feed::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        read_hosts();
        read_agents();
        publish();
        base::wait_unless_stopped(token, options_.interval);
    }
}

void fleet_feed::read_hosts() {
    http::call_options limits;
    limits.timeout = std::chrono::seconds{1};
    limits.min_receive_rate = internal::host_list_rate;
    limits.idle_timeout = limits.timeout;
    const auto answer = client_.call(options_.platform, {"GET", "/v1/hosts", {}, ""}, limits);
    const auto body = answer && answer.value().status == 200 ? base::parse_message(answer.value().body) : json{};
    if (!body.is_object() || !body.contains("hosts")) {
        // The previous list stays in force, as agents that still answer are still running.
        log::write("host_list_unavailable");
        return;
    }
    std::vector<listed_host> fresh;
    for (const auto &it : body["hosts"]) {
        fresh.push_back({base::field_or(it, "host", std::string{}), base::field_or(it, "role", std::string{}),
                         base::field_or(it, "address", std::string{}),
                         base::field_or(it, "failure_domain", std::string{}),
                         base::field_or(it, "state", std::string{"live"}) == "leaving"});
    }
    const std::scoped_lock lock{mutex_};
    hosts_ = std::move(fresh);
    list_known_ = true;
}

void fleet_feed::read_agents() {
    const auto round = std::make_shared<internal::status_round>();
    const auto asked = clock_.now();
    const auto all = hosts();
    for (const auto &host : all) {
        if (host.role != "agent") {
            continue;
        }
        {
            const std::scoped_lock lock{round->mutex};
            ++round->waiting;
        }
        const auto body = std::make_shared<std::string>();
        transport::h2_handlers handlers;
        handlers.on_head = [](int /*status*/, const http::field_list & /*fields*/) {};
        handlers.on_data = [body](std::string_view part) { body->append(part); };
        handlers.on_end = [round, body, name = host.host](transport::h2_outcome outcome) {
            const std::scoped_lock lock{round->mutex};
            if (outcome == transport::h2_outcome::complete) {
                round->bodies[name] = std::move(*body);
            }
            --round->waiting;
            round->done.notify_one();
        };
        agents_.send(host.address, {"GET", "/status", {}, ""}, std::move(handlers));
    }
    std::map<std::string, std::string> bodies;
    {
        std::unique_lock lock{round->mutex};
        round->done.wait_for(lock, internal::status_timeout, [&round] { return round->waiting == 0; });
        bodies = round->bodies;
    }
    for (const auto &host : all) {
        if (const auto it = bodies.find(host.host); it != bodies.end()) {
            apply_status(host, it->second, asked);
        }
    }
}

void fleet_feed::apply_status(const listed_host &host, std::string_view body, base::instant asked) {
    const auto it = base::parse_message(body);
    if (!it.is_object() || !it.contains("backends")) {
        return;
    }
    const bool draining = base::field_or(it, "draining", false);
    const auto incarnation = base::field_or(it, "incarnation", std::string{});
    agent_view view;
    view.answered = asked;
    for (const auto &each : it["backends"]) {
        view.backends.push_back(internal::to_status(each, host, incarnation));
        view.backends.back().facts.leaving = draining;
    }
    const std::scoped_lock lock{mutex_};
    views_[host.host] = std::move(view);
}

bool fleet_feed::planned_to_leave(const listed_host &host, const std::string &backend) const {
    if (!config_) {
        return false;
    }
    return std::ranges::any_of(config_->values().planned, [&](const auto &each) {
        const config::planned_change &it = each.second;
        const bool open = it.state == config::planned_state::requested || it.state == config::planned_state::running;
        // A drained backend server stays out of service until an operator plans something else for it.
        const bool drained = it.kind == config::planned_kind::drain && it.state == config::planned_state::done;
        const bool named = (!it.backend.empty() && it.backend == backend) || (!it.host.empty() && it.host == host.host);
        return named && (open || drained);
    });
}

void fleet_feed::publish() {
    backends_event out;
    const auto now = clock_.now();
    {
        const std::scoped_lock lock{mutex_};
        std::set<std::string> listed;
        for (const auto &host : hosts_) {
            listed.insert(host.host);
            const auto view = views_.find(host.host);
            if (host.role != "agent" || view == views_.end()) {
                continue;
            }
            const bool timed_out = now - view->second.answered > internal::agent_timeout;
            for (auto it : view->second.backends) {
                it.facts.leaving = it.facts.leaving || host.leaving || planned_to_leave(host, it.facts.name);
                it.facts.healthy = it.facts.healthy && !timed_out;
                out.all.push_back(std::move(it));
            }
        }
        published_ = out.all;
        std::erase_if(views_, [&listed](const auto &each) { return !listed.contains(each.first); });
    }
    events_.push(std::move(out));
}

} // namespace dotterelstack::entry
