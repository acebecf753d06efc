#include "gateway/member_task.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Candidates for each lease; three tolerate the loss of two failure domains.
constexpr std::size_t lease_candidates = 3;

} // namespace internal

member_task::member_task(member_settings settings, dependencies deps)
    : settings_{std::move(settings)}, deps_{std::move(deps)}, own_{deps_.store, deps_.ids,
                                                                   std::string{members_prefix} +
                                                                       settings_.incarnation} {}

member_task::~member_task() {
    stop();
}

void member_task::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void member_task::stop(base::instant deadline) {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
        // Counts that are not published are missing from the reported usage.
        while (!publish() && deps_.time.now() + settings_.retry_after < deadline) {
            std::this_thread::sleep_for(settings_.retry_after);
        }
    }
}

std::vector<std::string> member_task::peers() const {
    const std::scoped_lock lock{mutex_};
    return peers_;
}

member_record member_task::record() const {
    // Reads the window before the counts: starts counted in between belong to this window or a later one.
    const auto window = deps_.starts.current_window();
    return {settings_.name, settings_.peer_address, deps_.starts.counts(), window,
            deps_.speeds ? deps_.speeds() : speed::speed_record{}};
}

bool member_task::publish() {
    const auto written = own_.write(to_json(record()));
    if (!written) {
        log::write("member_write_failed", {{"reason", written.error().code}, {"version", own_.version()}});
    }
    return written.has_value();
}

void member_task::refresh_members() {
    const auto all = deps_.store.list(members_prefix);
    if (!all) {
        log::write("member_list_failed", {{"reason", all.error().code}});
        return;
    }
    deps_.members.on_list(all.value());
    const auto now = deps_.time.now();
    std::vector<std::string> others;
    gateway_group live{.own = own_.key(), .listed = true, .own_name = settings_.name};
    std::size_t preceding = 0;
    std::map<std::string, std::pair<base::instant, std::string>> named;
    std::vector<speed::speed_record> measured;
    std::optional<speed::speed_record> own_measured;
    for (const auto &it : deps_.members.all()) {
        // Of two incarnations with one name, the record of the one that ended does not advance any more.
        auto &of = named[it.record.name];
        of = std::max(of, {it.advanced_at, it.record.peer_address});
        if (it.key == own_.key()) {
            own_measured = it.record.speeds;
            continue;
        }
        if (now - it.advanced_at > settings_.record_ttl) {
            continue;
        }
        measured.push_back(it.record.speeds);
        live.others.push_back(it.key);
        preceding += it.key < own_.key() ? 1U : 0U;
        others.push_back(it.record.peer_address);
    }
    named[settings_.name] = {now, settings_.peer_address};
    live.names = named.size();
    for (auto &[name, it] : named) {
        if (now - it.first <= settings_.record_ttl) {
            live.named.push_back({name, std::move(it.second)});
        }
    }
    may_hold_leases_ = preceding < internal::lease_candidates;
    server_speeds speeds;
    speeds.others = speed::pooled(measured);
    if (own_measured) {
        measured.push_back(std::move(*own_measured));
    }
    speeds.all = speed::pooled(measured);
    deps_.on_group(std::move(live));
    if (deps_.on_speeds) {
        deps_.on_speeds(std::move(speeds));
    }
    const std::scoped_lock lock{mutex_};
    peers_ = std::move(others);
}

void member_task::run(const std::stop_token &token) {
    base::instant list_due{};
    // Gateways that start together publish at slightly different times, so the first lists follow each other sooner.
    auto list_wait = settings_.first_list_wait;
    while (!token.stop_requested()) {
        const bool published = publish();
        if (deps_.time.now() >= list_due) {
            refresh_members();
            list_due = deps_.time.now() + list_wait;
            list_wait = std::min(2 * list_wait, settings_.list_every);
        }
        base::wait_unless_stopped(token, published ? settings_.publish_every : settings_.retry_after);
    }
}

} // namespace dotterelstack::gateway
