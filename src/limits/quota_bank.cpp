#include "limits/quota_bank.hpp"

#include <algorithm>
#include <cmath>

#include "limits/fair_division.hpp"

namespace dotterelstack::limits {

double quota_bank::part(base::instant now) const {
    const auto heard = members(now);
    return static_cast<double>(heard) / static_cast<double>(std::max({heard, gateways_, std::size_t{1}}));
}

std::size_t quota_bank::members(base::instant now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        members_, [now](const auto &it) { return now < it.second.heard_at + quota_member_lifetime; }));
}

std::int64_t quota_bank::lent(std::string_view organisation) const {
    const auto it = accounts_.find(organisation);
    return it == accounts_.end() ? 0 : it->second.outstanding;
}

void quota_bank::set_quotas(const quota_list &all) {
    const auto now = time_.now();
    std::unordered_map<std::string, account, hash, std::equal_to<>> kept;
    for (const auto &[name, limit] : all) {
        auto node = accounts_.extract(name);
        if (node.empty()) {
            // The former bank may have lent a burst just now.
            auto &it = kept[name];
            it.limit = limit;
            it.bucket.limit(0, 0, now);
            dry_.insert(name);
            continue;
        }
        auto &it = node.mapped();
        const double added = bucket_size(limit) - bucket_size(it.limit);
        it.limit = limit;
        if (added > 0) {
            it.bucket.limit(0, bucket_size(limit), now);
            it.bucket.take(-added * part(now), now);
        }
        kept.insert(std::move(node));
    }
    accounts_ = std::move(kept);
    std::erase_if(dry_, [this](const auto &it) { return !accounts_.contains(it); });
}

void quota_bank::refill(account &it, double part, base::instant now) {
    // What is lent and unspent is part of the burst.
    const double burst = bucket_size(it.limit) * part - static_cast<double>(it.outstanding);
    it.bucket.limit(it.limit.rate * part, std::max(burst, 0.0), now);
}

void quota_bank::erase_line(account &it, std::map<std::string, line, std::less<>>::iterator at) {
    it.outstanding -= at->second.held();
    it.lines.erase(at);
}

void quota_bank::expire(account &it, base::instant now) {
    if (now < it.expiry_due) {
        return;
    }
    it.expiry_due = now + quota_interval;
    for (auto at = it.lines.begin(); at != it.lines.end();) {
        const auto next = std::next(at);
        if (at->second.expires <= now) {
            erase_line(it, at);
        }
        at = next;
    }
}

void quota_bank::settle(account &it, line &of, const quota_use &use, bool known, base::instant now) {
    const auto paid = std::max(use.ceiling, use.spent);
    if (!known) {
        // Paid for at another bank, or at this one a long time ago.
        of.ceiling = use.ceiling;
        of.spent = std::min(use.spent, use.ceiling);
        it.outstanding += of.held();
    }
    it.bucket.take(static_cast<double>(paid - of.ceiling), now);
    it.outstanding += (paid - use.spent) - of.held();
    of.ceiling = paid;
    of.spent = use.spent;
}

quota_grant quota_bank::lend(account &it, line &to, const quota_use &use, base::instant now) {
    to.expires = now + quota_grant_lifetime;
    to.missing = std::max<std::int64_t>(use.wanted - to.held(), 0);
    const auto level = static_cast<std::int64_t>(std::floor(it.bucket.level_at(now)));
    const auto available = std::max<std::int64_t>(level, 0);
    auto granted = to.missing;
    // Nobody's fair share is less than an even one.
    if (granted > available / static_cast<std::int64_t>(it.lines.size())) {
        const auto fair = divide_fairly(available, [&it](auto take) {
            for (const auto &[name, other] : it.lines) {
                if (other.missing > 0) {
                    take(other.missing);
                }
            }
        });
        granted = fair.unsatisfied > 0 ? std::min(granted, fair.level) : granted;
    }
    to.missing -= granted;
    to.ceiling += granted;
    it.outstanding += granted;
    it.bucket.take(static_cast<double>(granted), now);
    return {use.organisation, to.ceiling, level - granted};
}

void quota_bank::forget_lines(std::string_view gateway) {
    for (auto &[name, it] : accounts_) {
        if (const auto at = it.lines.find(gateway); at != it.lines.end()) {
            erase_line(it, at);
        }
    }
}

quota_answer quota_bank::answer(const quota_report &report) {
    const auto now = time_.now();
    quota_answer out{.sequence = report.sequence, .rows = {}, .dry = {}};
    if (report.gateway.empty()) {
        return out;
    }
    auto &from = members_[report.gateway];
    const bool same = from.incarnation == report.incarnation;
    if (same && report.sequence <= from.sequence) {
        return out;
    }
    if (!same) {
        forget_lines(report.gateway);
    }
    from = {report.incarnation, report.sequence, now};
    std::erase_if(members_, [now](const auto &it) { return it.second.heard_at + quota_grant_lifetime < now; });
    const double part_now = part(now);
    for (const auto &use : report.rows) {
        const auto found = accounts_.find(use.organisation);
        if (found == accounts_.end()) {
            continue;
        }
        auto &it = found->second;
        expire(it, now);
        refill(it, part_now, now);
        const auto [at, is_new] = it.lines.try_emplace(report.gateway);
        settle(it, at->second, use, !is_new, now);
        refill(it, part_now, now);
        out.rows.push_back(lend(it, at->second, use, now));
        if (out.rows.back().level <= 0) {
            dry_.insert(use.organisation);
        }
    }
    std::erase_if(dry_, [&](const auto &name) {
        auto &it = accounts_.at(name);
        refill(it, part_now, now);
        return it.bucket.level_at(now) >= 1;
    });
    out.dry.assign(dry_.begin(), dry_.end());
    return out;
}

} // namespace dotterelstack::limits
