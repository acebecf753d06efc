#include "limits/quota_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/seconds.hpp"

namespace dotterelstack::limits {

namespace internal {

// Time constant of the mean demand. Shorter than the burst of most quotas would bind amounts at gateways that have
// just had one large request.
constexpr double demand_seconds = 1.5;
// Time constant of the mean demand while there are no requests.
constexpr double rest_seconds = 0.35;
// Wanted in advance, in seconds of the demand: the interval between two reports and a margin for a late answer.
constexpr double advance_seconds = 0.6;
// Accounts with a smaller demand than this, in units a second, have no row in reports.
constexpr double idle_demand = 0.01;
// Part of the rate, as a divisor, that a gateway may expect to find at the bank. Asking for less costs messages of all
// gateways under a flood; asking for more refuses what the bank could have lent.
constexpr double share_divisor = 2;
// Limits of Retry-After.
constexpr base::duration shortest_return = std::chrono::milliseconds{100};
constexpr base::duration longest_return = std::chrono::seconds{10};

std::int64_t floor_of(double value) {
    return static_cast<std::int64_t>(std::floor(value));
}

} // namespace internal

void quota_ledger::limit_own_part(account &it, base::instant now) const {
    const auto n = static_cast<double>(gateways_);
    it.own.limit(it.limit.rate / n, bucket_size(it.limit) / n, now);
}

void quota_ledger::enter_own_part(account &it, base::instant since, base::instant now) const {
    if (it.own_in_force) {
        return;
    }
    it.own_in_force = true;
    // What the bank has lent may be lent to others now, and what it has not been paid comes first. The bank may have
    // spent the burst, so the own one is not available at once.
    const auto debt = std::max<std::int64_t>(it.spent - it.ceiling, 0);
    it.ceiling = it.spent;
    it.own.limit(0, 0, now);
    it.own.take(static_cast<double>(debt), now);
    limit_own_part(it, now);
    it.own.take(it.limit.rate / static_cast<double>(gateways_) *
                    base::to_seconds(std::max(since - now, base::duration{0})),
                now);
}

void quota_ledger::leave_own_part(account &it, base::instant now) const {
    if (!std::exchange(it.own_in_force, false)) {
        return;
    }
    it.spent += std::max<std::int64_t>(-internal::floor_of(it.own.level_at(now)), 0);
    it.own.limit(0, 0, now);
}

void quota_ledger::set_quotas(const quota_list &all) {
    const auto now = time_.now();
    decltype(accounts_) kept;
    for (const auto &[name, limit] : all) {
        auto node = accounts_.extract(name);
        if (node.empty()) {
            auto &it = kept[name];
            it.limit = limit;
            it.own.limit(0, 0, now);
            limit_own_part(it, now);
            if (in_touch()) {
                leave_own_part(it, now);
                it.level = internal::floor_of(bucket_size(limit));
            }
            continue;
        }
        auto &it = node.mapped();
        if (limit.rate > it.limit.rate || bucket_size(limit) > bucket_size(it.limit)) {
            // The bank knows how much more there is, so it is asked.
            it.dry = false;
            it.level = internal::floor_of(bucket_size(limit));
        }
        it.limit = limit;
        if (it.own_in_force) {
            limit_own_part(it, now);
        }
        kept.insert(std::move(node));
    }
    accounts_ = std::move(kept);
}

void quota_ledger::set_gateways(std::size_t n) {
    gateways_ = std::max<std::size_t>(n, 1);
    for (auto &[name, it] : accounts_) {
        if (it.own_in_force) {
            limit_own_part(it, time_.now());
        }
    }
}

bool quota_ledger::in_touch() const {
    return lending_ && time_.now() < answered_report_at_ + quota_grant_lifetime;
}

void quota_ledger::drop_expired(base::instant now) {
    if (lending_ && now >= answered_report_at_ + quota_grant_lifetime) {
        on_bank_lost(false);
    }
}

void quota_ledger::on_bank_lost(bool ended) {
    const auto now = time_.now();
    lending_ = false;
    for (auto &[name, it] : accounts_) {
        enter_own_part(it, ended ? now : report_at_ + quota_member_lifetime, now);
    }
}

base::duration quota_ledger::retry_after(account &it, std::int64_t cost, base::instant now) const {
    const auto n = static_cast<double>(gateways_);
    // Callers return one after the other, at this gateway's part of the rate.
    const double rate = it.limit.rate / n;
    it.returning = std::max(it.returning - rate * base::to_seconds(now - it.returning_at), 0.0);
    it.returning_at = now;
    const double missing = it.own_in_force ? std::max(-it.own.level_at(now), 0.0) / rate
                                           : static_cast<double>(std::max<std::int64_t>(-it.level, 0)) / it.limit.rate;
    const auto wait =
        base::from_seconds(std::min(missing + it.returning / rate, base::to_seconds(internal::longest_return)));
    it.returning += wait < internal::longest_return ? static_cast<double>(cost) : 0.0;
    return std::max(wait, internal::shortest_return);
}

quota_decision quota_ledger::admit(std::string_view organisation, std::uint64_t tokens, bool first) {
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        return {};
    }
    const auto now = time_.now();
    drop_expired(now);
    auto &it = found->second;
    const auto cost = quota_cost(it.limit, tokens);
    it.active = true;
    if (first) {
        it.asked += cost;
    } else {
        it.waiting -= std::min(cost, it.waiting);
    }
    quota_decision out{.cost = cost, .level = it.level, .in_touch = !it.own_in_force};
    if (it.own_in_force) {
        const double own = it.own.level_at(now);
        out.held = internal::floor_of(own);
        if (own > 0) {
            it.own.take(static_cast<double>(cost), now);
            it.granted += cost;
            return out;
        }
    } else {
        out.held = it.ceiling - it.spent;
        if (out.held > 0 || (out.held == 0 && !it.dry)) {
            it.spent += cost;
            it.granted += cost;
            return out;
        }
        const auto enough = std::min(cost, internal::floor_of(bucket_size(it.limit) / 2));
        // Others share what has come in at the bank since its answer.
        const double since = it.limit.rate * base::to_seconds(now - answered_report_at_) / internal::share_divisor;
        if (first && it.level + internal::floor_of(since) >= it.waiting + enough) {
            it.waiting += cost;
            out.verdict = quota_verdict::ask;
            return out;
        }
    }
    it.refused += cost;
    out.verdict = quota_verdict::refused;
    out.retry_after = retry_after(it, cost, now);
    return out;
}

void quota_ledger::refund(std::string_view organisation, std::int64_t cost) {
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        return;
    }
    auto &it = found->second;
    it.granted -= cost;
    if (it.own_in_force) {
        it.own.take(-static_cast<double>(cost), time_.now());
    } else {
        it.spent -= cost;
    }
}

quota_report quota_ledger::report() {
    const auto now = time_.now();
    drop_expired(now);
    const double elapsed = std::max(base::to_seconds(now - std::exchange(report_at_, now)), 0.001);
    const double weight = 1 - std::exp(-elapsed / internal::demand_seconds);
    const double rest_weight = 1 - std::exp(-elapsed / internal::rest_seconds);
    quota_report out{.gateway = {}, .incarnation = {}, .sequence = ++sequence_, .rows = {}};
    for (auto &[name, it] : accounts_) {
        if (!it.active) {
            continue;
        }
        const auto asked = static_cast<double>(it.asked - std::exchange(it.reported_asked, it.asked));
        // Without requests the demand falls faster, since what is held for it is missing at other gateways.
        it.demand += (asked / elapsed - it.demand) * (asked > 0 ? weight : rest_weight);
        const auto wanted = internal::floor_of(it.demand * internal::advance_seconds) + it.waiting;
        // Held amounts that are not wanted go back, and may be lent to others from here on.
        it.ceiling = std::min(it.ceiling, std::max(it.spent + wanted, it.spent));
        it.active = it.demand > internal::idle_demand || it.spent != it.ceiling || it.own_in_force;
        it.reported = sequence_;
        out.rows.push_back({name, it.spent, it.ceiling, wanted});
    }
    return out;
}

void quota_ledger::on_answer(const quota_answer &answer) {
    if (answer.sequence != sequence_) {
        return;
    }
    const auto now = time_.now();
    if (now >= report_at_ + quota_grant_lifetime) {
        return;
    }
    lending_ = true;
    answered_report_at_ = report_at_;
    for (auto &[name, it] : accounts_) {
        it.dry = false;
        it.level = internal::floor_of(bucket_size(it.limit));
    }
    for (const auto &name : answer.dry) {
        if (const auto found = accounts_.find(name); found != accounts_.end()) {
            found->second.dry = true;
            found->second.level = 0;
        }
    }
    for (const auto &row : answer.rows) {
        if (const auto found = accounts_.find(row.organisation); found != accounts_.end()) {
            auto &it = found->second;
            it.ceiling = row.ceiling;
            it.level = row.level;
            it.reported = 0;
        }
    }
    for (auto &[name, it] : accounts_) {
        if (it.reported == sequence_) {
            // The bank's configuration is another one, in which the organisation has no quota.
            enter_own_part(it, now, now);
        } else {
            leave_own_part(it, now);
        }
    }
}

void quota_ledger::for_each(const std::function<void(const quota_figures &)> &visit) const {
    for (const auto &[name, it] : accounts_) {
        if (it.asked > 0) {
            visit({name, it.asked, it.granted, it.refused, it.ceiling - it.spent});
        }
    }
}

} // namespace dotterelstack::limits
