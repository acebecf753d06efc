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

void server_notices::record(const server_incarnation &from, const server_notice &notice, base::instant asked) {
    const bool known = states_.contains(from.id);
    if (!known && !notice.leaving && !notice.pause && !notice.limit) {
        return;
    }
    auto &it = states_[from.id];
    if (from.start_ms < it.incarnation_start_ms) {
        return;
    }
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
    record_limit(from, notice, asked, it);
}

void server_notices::record_limit(const server_incarnation &from, const server_notice &notice, base::instant asked,
                                  state &it) {
    if (notice.limit) {
        if (!it.limit) {
            log::write("server_limited", {{"server", from.id}, {"requests_per_second", *notice.limit}});
        }
        if (!it.limit) {
            it.limit = limit_state{.first_named = time_.now()};
        }
        if (it.limit->requests_per_second != *notice.limit || it.limit->last_named == base::instant{}) {
            it.limit->requests_per_second = *notice.limit;
            it.limit->share = share_of_limit(*notice.limit, from.id, gateways_);
        }
        it.limit->last_named = time_.now();
    } else if (it.limit && notice.ends_limit && asked > it.limit->last_named) {
        log::write("server_limit_ended", {{"server", from.id}, {"requests_per_second", it.limit->requests_per_second}});
        it.limit.reset();
    }
}

void server_notices::set_gateways(gateway_group group) {
    gateways_ = std::move(group);
    for (auto &[id, it] : states_) {
        if (it.limit) {
            it.limit->share = share_of_limit(it.limit->requests_per_second, id, gateways_);
        }
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

base::instant server_notices::limit_end(const backend_server &it) const {
    const auto *found = find(it);
    if (found == nullptr || !found->limit) {
        return base::instant{};
    }
    const auto &limit = *found->limit;
    return limit.share.next(time_.now(), limit.first_named, limit.used);
}

limit_use server_notices::use_limit(const backend_server &it) {
    const auto *found = find(it);
    if (found == nullptr || !found->limit) {
        return limit_use::unlimited;
    }
    if (limit_end(it) > time_.now()) {
        return limit_use::exceeded;
    }
    states_.find(it.id)->second.limit->used = time_.now();
    return limit_use::counted;
}

} // namespace dotterelstack::gateway
