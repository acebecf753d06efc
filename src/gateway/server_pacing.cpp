#include "gateway/server_pacing.hpp"

#include "gateway/gateway_order.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

void server_pacing::update(const std::vector<backend_server> &all) {
    const bool first = listed_.empty();
    std::map<std::string, std::uint64_t, std::less<>> seen;
    for (const auto &it : all) {
        seen.emplace(it.id, it.incarnation_start_ms);
        const auto known = listed_.find(it.id);
        if (!first && (known == listed_.end() || known->second != it.incarnation_start_ms)) {
            begin(it, false);
        }
    }
    listed_ = std::move(seen);
    std::erase_if(paces_, [this](const auto &it) { return !listed_.contains(it.first); });
}

void server_pacing::on_recovered(const backend_server &it) {
    begin(it, true);
}

void server_pacing::begin(const backend_server &it, bool recovered) {
    if (!services_.contains(it.service)) {
        return;
    }
    // Gateways notice a recovery at different times, each with a request that was answered.
    const auto first = recovered ? pace::first_step{}
                                 : pace::first_step_of(it.slots, gateways_.size(), position_in_order(it.id, gateways_));
    paces_.insert_or_assign(it.id, pace::server_pace{settings_, time_.now(), it.slots, first});
    log::write("server_paced", {{"server", it.id},
                                {"service", it.service},
                                {"recovered", recovered},
                                {"requests", first.requests},
                                {"group", first.group}});
}

pace::server_pace *server_pacing::find(std::string_view id) {
    const auto it = paces_.find(id);
    if (it == paces_.end()) {
        return nullptr;
    }
    if (it->second.over(time_.now())) {
        paces_.erase(it);
        return nullptr;
    }
    return &it->second;
}

void server_pacing::on_time(std::string_view id, double ratio, base::instant sent) {
    if (auto *it = find(id)) {
        it->on_time(time_.now(), ratio, sent);
    }
}

void server_pacing::on_ended(std::string_view id, dispatch::attempt_outcome how, base::instant sent) {
    auto *it = find(id);
    if (it == nullptr || how == dispatch::attempt_outcome::cancelled) {
        return;
    }
    if (how == dispatch::attempt_outcome::answered) {
        it->on_answer();
    } else {
        it->on_setback(time_.now(), sent);
    }
}

base::instant server_pacing::open_at(std::string_view id, std::uint32_t in_progress) const {
    const auto it = paces_.find(id);
    const auto now = time_.now();
    if (it == paces_.end() || it->second.over(now)) {
        return {};
    }
    const auto limit = it->second.limit(now);
    if (limit == 0) {
        return it->second.opens_at();
    }
    // One of the requests in progress is probably answered within a step.
    return in_progress < limit ? base::instant{} : now + settings_.step;
}

} // namespace dotterelstack::gateway
