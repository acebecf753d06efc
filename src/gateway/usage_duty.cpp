#include "gateway/usage_duty.hpp"

#include <algorithm>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"
#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

usage_duty::usage_duty(duty_settings settings, dependencies with) : settings_{settings}, with_{std::move(with)} {}

std::uint64_t usage_duty::window_ms() const noexcept {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, base::to_milliseconds(settings_.window)));
}

bool usage_duty::may_seal(std::uint64_t window, std::uint64_t now) const {
    const auto end = (window + 1) * window_ms();
    const auto settled = end + static_cast<std::uint64_t>(base::to_milliseconds(settings_.settle));
    const auto latest = end + static_cast<std::uint64_t>(base::to_milliseconds(settings_.due - settings_.reserve));
    // Gateways could not publish during an outage; what they have counted comes right after it.
    const bool recovering = failed_at_ && with_.time.now() - *failed_at_ < settings_.recovery;
    return now >= settled && (!recovering || now >= latest);
}

std::optional<start_counts> usage_duty::sum(std::uint64_t window) {
    const auto members = with_.store.list(members_prefix);
    if (!members) {
        failed_at_ = with_.time.now();
        log::write("member_list_failed", {{"reason", members.error().code}});
        return std::nullopt;
    }
    start_counts out;
    for (const auto &item : members.value()) {
        const auto record = parse_member(item);
        if (!record) {
            log::write("member_unreadable", {{"object", item.key}, {"reason", record.error().message}});
            continue;
        }
        const auto it = record.value().starts.find(window);
        if (it == record.value().starts.end()) {
            continue;
        }
        for (const auto &[organisation, n] : it->second) {
            out[organisation] += n;
        }
    }
    return out;
}

std::optional<start_counts> usage_duty::seal(std::uint64_t window, const lease::authority_check &authority) {
    const auto key = sealed_starts_key(window);
    const auto found = with_.store.get(key);
    if (!found) {
        failed_at_ = with_.time.now();
        return std::nullopt;
    }
    if (found.value()) {
        const auto counts = parse_counts(*found.value());
        return counts ? std::optional{counts.value()} : std::nullopt;
    }
    auto counts = sum(window);
    if (!counts || !authority()) {
        return std::nullopt;
    }
    // After a conflict or a lost answer the next step reads what is there.
    const auto written = store::settled_write(with_.store, with_.ids, key, to_json(*counts), store::absent);
    if (!written) {
        log::write("usage_seal_failed", {{"window", window}, {"reason", written.error().code}});
        return std::nullopt;
    }
    log::write("usage_window_sealed", {{"window", window}});
    return counts;
}

void usage_duty::report(std::uint64_t window, const lease::authority_check &authority) {
    if (!sealed_.contains(window)) {
        auto counts = seal(window, authority);
        if (!counts) {
            return;
        }
        sealed_.emplace(window, std::move(*counts));
    }
    if (!authority()) {
        return;
    }
    const auto done = with_.duties.report_usage(window, sealed_.at(window), authority.fence());
    if (done) {
        reported_.insert(window);
        log::write("usage_reported", {{"window", window}, {"fence", authority.fence()}});
        return;
    }
    outranked_ = done.error().kind == base::error_kind::refused;
    log::write("usage_report_failed",
               {{"window", window}, {"fence", authority.fence()}, {"reason", done.error().code}});
}

void usage_duty::clean_up(std::uint64_t current) {
    if (current < cleaned_ + settings_.keep_windows) {
        return;
    }
    cleaned_ = current;
    const auto oldest = current - settings_.keep_windows;
    std::erase_if(sealed_, [oldest](const auto &it) { return it.first < oldest; });
    std::erase_if(reported_, [oldest](std::uint64_t it) { return it < oldest; });
    if (const auto sealed = with_.store.list(sealed_starts_prefix)) {
        for (const auto &it : sealed.value()) {
            if (std::strtoull(it.key.c_str() + sealed_starts_prefix.size(), nullptr, 10) < oldest) {
                (void)with_.store.erase(it.key, it.version);
            }
        }
    }
    if (const auto members = with_.store.list(members_prefix)) {
        for (const auto &it : members.value()) {
            const auto record = parse_member(it);
            const bool old = record && !record.value().starts.empty() && record.value().starts.rbegin()->first < oldest;
            if (old) {
                (void)with_.store.erase(it.key, it.version);
            }
        }
    }
}

void usage_duty::work(const lease::authority_check &authority) {
    if (authority.fence() != fence_) {
        fence_ = authority.fence();
        outranked_ = false;
        sealed_.clear();
        reported_.clear();
    }
    if (outranked_) {
        return;
    }
    const auto now = with_.now();
    const auto current = now / window_ms();
    // Reports that are overdue are sent, too: late figures are better than none.
    const auto oldest = current - std::min(current, settings_.keep_windows / 2);
    for (auto window = oldest; window < current && !outranked_ && authority(); ++window) {
        if (!reported_.contains(window) && (sealed_.contains(window) || may_seal(window, now))) {
            report(window, authority);
        }
    }
    if (!outranked_ && authority()) {
        clean_up(current);
    }
}

usage_duty_thread::usage_duty_thread(usage_duty &duty, const lease::lease_thread &lease, base::duration step)
    : duty_{duty}, lease_{lease}, step_{step} {}

usage_duty_thread::~usage_duty_thread() {
    stop();
}

void usage_duty_thread::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) {
        while (!token.stop_requested()) {
            if (const auto authority = lease_.authority()) {
                duty_.work(*authority);
            }
            base::wait_unless_stopped(token, step_);
        }
    }};
}

void usage_duty_thread::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

} // namespace dotterelstack::gateway
