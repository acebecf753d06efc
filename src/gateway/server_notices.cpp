#include "gateway/server_notices.hpp"

#include <utility>

#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Time for which the notices of an incarnation are remembered after its entry was last listed.
constexpr auto notice_memory = std::chrono::minutes{10};

} // namespace internal

const server_notices::state *server_notices::find(const backend_server &it) const {
    const auto found = states_.find(it.id);
    const bool same = found != states_.end() && found->second.incarnation_start_ms == it.incarnation_start_ms;
    return same ? &found->second : nullptr;
}

void server_notices::record(const server_incarnation &from, const server_notice &notice) {
    if (!notice.leaving && !notice.pause) {
        return;
    }
    auto &it = states_[from.id];
    if (it.incarnation_start_ms != from.start_ms) {
        it = {};
    }
    it.incarnation_start_ms = from.start_ms;
    it.last_listed = time_.now();
    if (notice.leaving && !std::exchange(it.leaving, true)) {
        log::write("server_leaving", {{"server", from.id}, {"born", from.start_ms}});
    }
    if (notice.pause && time_.now() + *notice.pause > it.pause_end) {
        it.pause_end = time_.now() + *notice.pause;
        log::write("server_pausing", {{"server", from.id}, {"pause_ms", base::to_milliseconds(*notice.pause)}});
    }
}

void server_notices::forget_unlisted(const std::set<std::string_view> &listed) {
    const auto now = time_.now();
    for (auto &[id, it] : states_) {
        it.last_listed = listed.contains(id) ? now : it.last_listed;
    }
    std::erase_if(states_, [now](const auto &it) { return now - it.second.last_listed > internal::notice_memory; });
}

bool server_notices::leaving(const backend_server &it) const {
    const auto *found = find(it);
    return found != nullptr && found->leaving;
}

base::instant server_notices::pause_end(const backend_server &it) const {
    const auto *found = find(it);
    return found == nullptr ? base::instant{} : found->pause_end;
}

} // namespace dotterelstack::gateway
