#include "gateway/member_directory.hpp"

#include <algorithm>
#include <set>
#include <string_view>

#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Windows of counts that are kept for each gateway; more than gateways publish.
constexpr std::size_t remembered_windows = 16;

/** Raises the counts to those of `from`. @return True if any has changed. */
bool raise_counts(start_counts &counts, const start_counts &from) {
    bool changed = false;
    for (const auto &[organisation, n] : from) {
        auto &it = counts[organisation];
        changed = changed || n > it;
        it = std::max(it, n);
    }
    return changed;
}

} // namespace internal

member_directory::member_directory(const base::clock &time, base::duration keep) : time_{time}, keep_{keep} {}

void member_directory::merge(known_member &known, const member_record &seen) {
    auto &record = known.record;
    bool advanced = seen.window > record.window;
    if (advanced) {
        record.name = seen.name;
        record.peer_address = seen.peer_address;
        record.window = seen.window;
    }
    // Counts only grow while a process runs, so the larger one is the newer one.
    for (const auto &[window, counts] : seen.starts) {
        advanced = internal::raise_counts(record.starts[window], counts) || advanced;
    }
    while (record.starts.size() > internal::remembered_windows) {
        record.starts.erase(record.starts.begin());
    }
    if (advanced) {
        record.speeds = seen.speeds;
        known.advanced_at = time_.now();
    }
}

void member_directory::on_list(std::span<const store::object> all) {
    const std::scoped_lock lock{mutex_};
    const auto now = time_.now();
    std::set<std::string_view> listed;
    for (const auto &item : all) {
        listed.insert(item.key);
        const auto record = parse_member(item);
        if (!record) {
            log::write("member_unreadable", {{"object", item.key}, {"reason", record.error().message}});
            continue;
        }
        const auto [it, is_new] = members_.try_emplace(item.key, known_member{item.key, 0, record.value(), now});
        it->second.version = item.version;
        if (!is_new) {
            merge(it->second, record.value());
        }
    }
    std::erase_if(members_,
                  [&](const auto &it) { return !listed.contains(it.first) && now - it.second.advanced_at > keep_; });
}

void member_directory::on_answer(const std::string &key, const member_record &record) {
    const std::scoped_lock lock{mutex_};
    if (const auto it = members_.find(key); it != members_.end()) {
        merge(it->second, record);
    }
}

std::vector<known_member> member_directory::all() const {
    const std::scoped_lock lock{mutex_};
    std::vector<known_member> out;
    out.reserve(members_.size());
    for (const auto &[key, it] : members_) {
        out.push_back(it);
    }
    return out;
}

} // namespace dotterelstack::gateway
