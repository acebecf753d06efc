#include "gateway/fleet_view.hpp"

#include <set>

namespace dotterelstack::gateway {

namespace internal {

// Marks of ids that are no longer listed are dropped beyond this number.
constexpr std::size_t most_marks = 20'000;

} // namespace internal

fleet_view::fleet_view(const base::clock &time, fleet_settings settings) : time_{time}, settings_{settings} {}

bool fleet_view::settled() const noexcept {
    return reachable_ && time_.now() - reachable_since_ >= settings_.lapse_grace;
}

void fleet_view::on_store(bool reachable) {
    if (reachable && !reachable_) {
        reachable_since_ = time_.now();
    }
    reachable_ = reachable;
}

void fleet_view::take(const fleet_entry &entry) {
    const auto &server = entry.server;
    auto &mark = marks_[server.id];
    const bool stale = server.born < mark.born || (server.born == mark.born && server.sequence < mark.sequence);
    if (stale) {
        return;
    }
    mark = {server.born, server.sequence};
    auto &it = members_[server.id];
    if (entry.revision >= it.entry.revision) {
        it = {entry, std::nullopt};
    }
}

void fleet_view::mark_missing(member &it) {
    if (!it.missing_since) {
        it.missing_since = time_.now();
    }
}

void fleet_view::on_list(const std::vector<fleet_entry> &all) {
    known_ = true;
    std::set<std::string_view> listed;
    for (const auto &it : all) {
        take(it);
        listed.insert(it.server.id);
    }
    for (auto &[id, it] : members_) {
        if (!listed.contains(id)) {
            mark_missing(it);
        }
    }
    if (marks_.size() > internal::most_marks) {
        std::erase_if(marks_, [this](const auto &it) { return !members_.contains(it.first); });
    }
    (void)expire();
}

void fleet_view::on_change(const fleet_entry &entry) {
    take(entry);
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
    if (!settled()) {
        return false;
    }
    return std::erase_if(members_, [](const auto &it) { return it.second.missing_since.has_value(); }) > 0;
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
