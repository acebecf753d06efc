#include "gateway/fleet_view.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterelstack::gateway {

namespace internal {

// Above this number, the newest reports of ids that are no longer listed are dropped.
constexpr std::size_t max_reports = 20'000;

} // namespace internal

fleet_view::fleet_view(const base::clock &time, fleet_settings settings) : time_{time}, settings_{settings} {}

void fleet_view::on_store_answer() {
    if (std::exchange(reachable_, true)) {
        return;
    }
    const auto now = time_.now();
    const auto away = now - unreachable_since_;
    if (!std::exchange(answer_missing_, false) && away < settings_.shortest_outage) {
        return;
    }
    reachable_since_ = now;
    for (auto &[id, it] : members_) {
        if (it.remove_at) {
            it.remove_at = std::min(*it.remove_at + away, now + settings_.outage_grace);
        }
    }
}

void fleet_view::on_store_failure(store_failure how) {
    if (std::exchange(reachable_, false)) {
        unreachable_since_ = time_.now();
    }
    answer_missing_ = answer_missing_ || how == store_failure::no_answer;
}

bool fleet_view::apply(const fleet_entry &entry) {
    const auto &server = entry.server;
    auto &newest = newest_reports_[server.id];
    const bool stale =
        server.incarnation_start_ms < newest.incarnation_start_ms ||
        (server.incarnation_start_ms == newest.incarnation_start_ms && server.sequence < newest.sequence);
    if (stale) {
        return false;
    }
    newest = {server.incarnation_start_ms, server.sequence, false};
    auto &it = members_[server.id];
    if (entry.revision < it.entry.revision) {
        return false;
    }
    it = {entry, std::nullopt, false};
    return true;
}

void fleet_view::mark_missing(member &it) {
    // The grace of an unreadable entry ends when the entry is removed; another grace goes on.
    if (it.remove_at && !std::exchange(it.unreadable, false)) {
        return;
    }
    const auto now = time_.now();
    const auto grace_end = reachable_since_ + settings_.outage_grace;
    const bool expired_in_outage = !reachable_ || now < reachable_since_ + settings_.outage_expiry_window;
    it.remove_at = expired_in_outage ? grace_end : std::min(grace_end, now + settings_.removal_grace);
}

void fleet_view::on_store_returned() {
    reachable_since_ = time_.now();
    list_is_copy_ = true;
}

void fleet_view::ignore_departed(const backend_server &listed) {
    const auto found = newest_reports_.find(listed.id);
    if (found != newest_reports_.end() && found->second.departed &&
        found->second.incarnation_start_ms == listed.incarnation_start_ms) {
        found->second.sequence = std::max(found->second.sequence, listed.sequence + 1);
    }
}

void fleet_view::on_unreadable(std::string_view id) {
    const auto it = members_.find(id);
    if (it != members_.end() && !it->second.remove_at) {
        it->second.remove_at = time_.now() + settings_.outage_grace;
        it->second.unreadable = true;
    }
}

void fleet_view::on_list(const std::vector<fleet_entry> &all, const std::vector<std::string> &unreadable) {
    known_ = true;
    std::set<std::string_view> listed;
    for (const auto &it : unreadable) {
        on_unreadable(it);
        listed.insert(it);
    }
    for (const auto &it : all) {
        if (list_is_copy_) {
            ignore_departed(it.server);
        }
        apply(it);
        listed.insert(it.server.id);
    }
    list_is_copy_ = false;
    for (auto &[id, it] : members_) {
        if (!listed.contains(id)) {
            mark_missing(it);
        }
    }
    if (newest_reports_.size() > internal::max_reports) {
        std::erase_if(newest_reports_, [this](const auto &it) { return !members_.contains(it.first); });
    }
    (void)expire();
}

bool fleet_view::on_change(const fleet_entry &entry) {
    return apply(entry);
}

void fleet_view::on_removed(std::string_view id, std::uint64_t revision) {
    const auto it = members_.find(id);
    if (it == members_.end() || (revision != 0 && revision < it->second.entry.revision)) {
        return;
    }
    mark_missing(it->second);
    (void)expire();
}

bool fleet_view::expire() {
    const auto now = time_.now();
    return reachable_ && std::erase_if(members_, [this, now](const auto &it) {
                             const bool due = it.second.remove_at && *it.second.remove_at <= now;
                             if (due) {
                                 newest_reports_[it.first].departed = true;
                             }
                             return due;
                         }) > 0;
}

std::optional<base::instant> fleet_view::next_expiry() const {
    std::optional<base::instant> out;
    for (const auto &[id, it] : members_) {
        if (it.remove_at && (!out || *it.remove_at < *out)) {
            out = it.remove_at;
        }
    }
    return out;
}

std::vector<backend_server> fleet_view::servers() const {
    std::vector<backend_server> out;
    out.reserve(members_.size());
    for (const auto &[id, it] : members_) {
        out.push_back(it.entry.server);
    }
    return out;
}

} // namespace dotterelstack::gateway
