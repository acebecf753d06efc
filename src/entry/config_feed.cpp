#include "entry/config_feed.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"
#include "base/overloaded.hpp"
#include "config/config_log.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

// About a quarter of the isolation limit, so that a missing response is noticed and the call repeated in time.
constexpr auto store_watch_wait = std::chrono::seconds{1};
constexpr auto peer_timeout = std::chrono::seconds{1};
constexpr auto retry_delay = std::chrono::milliseconds{250};

} // namespace internal

config_feed::config_feed(const base::clock &time, store::object_store &store, transport::h2_client &client,
                         event_ring &events, peer_source peers)
    : clock_{time}, store_{store}, client_{client}, events_{events}, peers_{std::move(peers)}, tracker_{time} {}

config_feed::~config_feed() {
    stop();
}

void config_feed::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void config_feed::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

std::string config_feed::answer_peer(std::optional<std::uint64_t> since) const {
    const std::scoped_lock lock{mutex_};
    return tracker_.answer_peer(since);
}

std::uint64_t config_feed::version() const {
    const std::scoped_lock lock{mutex_};
    return tracker_.current() ? tracker_.current()->version() : 0;
}

void config_feed::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        const bool ok = watch_store();
        if (ok != store_reachable_) {
            store_reachable_ = ok;
            log::write(ok ? log::event{"store_recovered"} : log::event{"store_unavailable"});
        }
        if (!ok) {
            ask_peers();
            base::wait_unless_stopped(token, internal::retry_delay);
        }
        publish_age();
    }
}

bool config_feed::watch_store() {
    const auto started = clock_.now();
    const auto batch = store_.watch(config::head_key, revision_, {internal::store_watch_wait});
    if (!batch) {
        return false;
    }
    // A lower revision than before comes from a stale read; the watch must not restart from it.
    const bool fresh = batch.value().revision >= revision_;
    const bool first = revision_ == 0;
    revision_ = std::max(revision_, batch.value().revision);
    bool seen = false;
    for (const auto &it : batch.value().events) {
        if (it.item.key == config::head_key && !it.deleted) {
            seen = true;
            config::tracker_actions actions;
            {
                const std::scoped_lock lock{mutex_};
                actions = tracker_.on_head(it.item.value, started);
            }
            handle(actions);
        }
    }
    if (!seen && first) {
        config::tracker_actions actions;
        {
            const std::scoped_lock lock{mutex_};
            actions = tracker_.on_head(std::nullopt, started);
        }
        handle(actions);
    }
    if (fresh && !seen) {
        const std::scoped_lock lock{mutex_};
        tracker_.on_unchanged(started);
    }
    return true;
}

void config_feed::ask_peers() {
    const auto started = clock_.now();
    std::map<std::string, bool> attested; // By failure domain.
    for (const auto &it : peers_()) {
        const bool sees_outage = ask_peer(it.address);
        if (it.live) {
            auto &domain = attested[it.failure_domain];
            domain = domain || sees_outage;
        }
    }
    // An unresponsive failure domain may still reach the store and withdraw keys there. Only if entries of all failure
    // domains attest the outage is it certain that no key can be withdrawn.
    if (!attested.empty() && std::ranges::all_of(attested, [](const auto &it) { return it.second; })) {
        events_.push(store_outage_event{started});
    }
}

bool config_feed::ask_peer(const std::string &address) {
    const auto started = clock_.now();
    const auto status = client_.call(address, {"GET", "/status", {}, ""}, internal::peer_timeout);
    if (!status || status.value().status != 200) {
        return false;
    }
    const auto since = version();
    const std::string target = "/config" + (since == 0 ? "" : "?since=" + std::to_string(since));
    const auto answer = client_.call(address, {"GET", target, {}, ""}, internal::peer_timeout);
    if (answer && answer.value().status == 200) {
        config::tracker_actions actions;
        {
            const std::scoped_lock lock{mutex_};
            actions = tracker_.on_peer(answer.value().body, started);
        }
        handle(actions);
    }
    const auto body = base::parse_message(status.value().body);
    return body.is_object() && !base::field_or(body, "store_reachable", true);
}

void config_feed::handle(const config::tracker_actions &actions) {
    for (const auto &action : actions) {
        std::visit(
            base::overloaded{
                [this](const config::fetch_snapshot &it) { fetch(it); },
                [this](const config::adopted &it) {
                    log::write("config_adopted", {{"version", it.state->version()}, {"from_peer", it.from_peer}});
                    events_.push(config_event{it.state});
                },
                [](const config::offer_ignored &it) {
                    if (it.problem == config::offer_problem::diverged) {
                        log::write("config_diverged", {{"version", it.offered}, {"detail", it.detail}});
                    } else if (it.problem == config::offer_problem::unreadable) {
                        log::write("config_unreadable", {{"detail", it.detail}});
                    } else {
                        log::write("config_stale_ignored", {{"version", it.offered}});
                    }
                }},
            action);
    }
}

void config_feed::fetch(const config::fetch_snapshot &wanted) {
    if (fetched_version_ != wanted.version) {
        fetched_version_ = wanted.version;
        fetched_parts_.clear();
    }
    for (std::uint64_t n = fetched_parts_.size(); n < wanted.parts; ++n) {
        const auto part = store_.get(config::snapshot_key(wanted.version, n));
        if (!part || !part.value()) {
            const std::scoped_lock lock{mutex_};
            tracker_.on_snapshot_failed();
            // Restarts the watch from the beginning, so that the head is read and the snapshot requested again.
            revision_ = 0;
            return;
        }
        fetched_parts_.push_back(part.value()->value);
    }
    config::tracker_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        actions = tracker_.on_snapshot(wanted.version, std::exchange(fetched_parts_, {}));
        fetched_version_ = 0;
    }
    handle(actions);
}

std::optional<base::duration> config_feed::age() const {
    const std::scoped_lock lock{mutex_};
    return tracker_.age();
}

void config_feed::send_withdrawals(const config::state_ptr &state) {
    std::vector<std::string> fresh;
    for (const auto &[id, key] : state->values().keys) {
        if (key.withdrawn && withdrawn_.insert(key.sha256).second) {
            fresh.push_back(key.sha256);
        }
    }
    // The first configuration contains old withdrawals, which peers already know.
    const bool first = fresh.size() == withdrawn_.size();
    if (fresh.empty() || first) {
        return;
    }
    http::request message;
    message.method = "POST";
    message.target = "/keys/withdrawn";
    message.body = nlohmann::json{{"hashes", fresh}}.dump();
    for (const auto &it : peers_()) {
        transport::h2_handlers handlers;
        handlers.on_head = [](int /*status*/, const http::field_list & /*fields*/) {};
        handlers.on_data = [](std::string_view /*part*/) {};
        handlers.on_end = [](transport::h2_outcome /*outcome*/) {};
        client_.send(it.address, message, std::move(handlers));
    }
}

void config_feed::publish_age() {
    if (const auto value = age()) {
        events_.push(config_confirmed_event{clock_.now() - *value});
    }
}

} // namespace dotterelstack::entry
