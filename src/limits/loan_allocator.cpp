#include "limits/loan_allocator.hpp"

#include <algorithm>
#include <tuple>

#include "limits/fair_division.hpp"

namespace dotterelstack::limits {

namespace {

/** @brief How long an entry keeps a unit that cannot be divided. Moving the unit to another entry leaves it unused for
 * up to two demand intervals, so short turns would waste much of it. */
constexpr base::duration turn_duration = std::chrono::seconds{4};

} // namespace

std::uint64_t loan_allocator::possible_use(const borrower_state &it, std::size_t resource, base::instant now) noexcept {
    std::uint64_t most = now < it.expires ? it.in_use[resource] : 0;
    for (const auto &grant : it.grants) {
        most = now < grant.expires ? std::max(most, grant.lent[resource]) : most;
    }
    return most;
}

bool loan_allocator::in_turn(const borrower_state &it, std::size_t resource, base::instant now) noexcept {
    return now < it.last_extra[resource] + grant_lifetime && now < it.turn_start[resource] + turn_duration;
}

loan_allocator::entitlement loan_allocator::entitled(std::size_t self, std::size_t resource, std::uint64_t available,
                                                     base::instant now) const {
    // The remainder of the integer division goes in turns to the entries that have waited longest for an extra unit, so
    // that a limit of 1 rotates among the entries.
    const auto &all = borrowers_;
    const auto has_demand = [&](const borrower_state &it) { return now < it.expires && it.wanted[resource] > 0; };
    const auto own = all[self].wanted[resource];
    const auto [level, rest, unsatisfied] = divide_fairly(available, [&](auto take) {
        for (const auto &it : all) {
            if (has_demand(it)) {
                take(it.wanted[resource]);
            }
        }
    });
    if (unsatisfied == 0 || own <= level) {
        return {own, false};
    }
    const auto ranks_before = [&](std::size_t left, std::size_t right) {
        const auto rank = [&](std::size_t at) {
            return std::tuple{!in_turn(all[at], resource, now), all[at].last_extra[resource], at};
        };
        return rank(left) < rank(right);
    };
    std::uint64_t rank = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
        rank += has_demand(all[n]) && all[n].wanted[resource] > level && ranks_before(n, self) ? 1 : 0;
    }
    const bool extra = rank < rest % unsatisfied;
    return {level + (extra ? 1 : 0), extra};
}

bool loan_allocator::record_demand(std::size_t borrower, const share_demand &demand, base::instant now) {
    auto &it = borrowers_[borrower];
    if (demand.sequence <= it.sequence) {
        return false;
    }
    it.sequence = demand.sequence;
    it.wanted = demand.wanted;
    it.in_use = demand.in_use;
    it.expires = now + grant_lifetime + clock_margin;
    std::erase_if(it.grants,
                  [&](const sent_grant &grant) { return grant.sequence < demand.applied || grant.expires <= now; });
    // The entry caps earlier grants by its present demand, including grants that have not arrived yet.
    for (auto &grant : it.grants) {
        for (std::size_t n = 0; n < resource_count; ++n) {
            grant.lent[n] = std::min(grant.lent[n], demand.wanted[n]);
        }
    }
    return true;
}

share_amounts loan_allocator::lend(std::size_t borrower, const share_amounts &available, base::instant now) {
    auto &it = borrowers_[borrower];
    share_amounts out{};
    for (std::size_t n = 0; n < resource_count; ++n) {
        if (it.wanted[n] == 0 || available[n] == 0) {
            continue;
        }
        std::uint64_t others = 0;
        for (std::size_t at = 0; at < borrowers_.size(); ++at) {
            others += at == borrower ? 0 : possible_use(borrowers_[at], n, now);
        }
        const auto due = entitled(borrower, n, available[n], now);
        out[n] = std::min(due.amount, available[n] - std::min(available[n], others));
        if (due.extra && out[n] == due.amount) {
            it.turn_start[n] = in_turn(it, n, now) ? it.turn_start[n] : now;
            it.last_extra[n] = now;
        }
    }
    it.grants.push_back({it.sequence, out, it.expires});
    return out;
}

share_amounts loan_allocator::lent(base::instant now) const noexcept {
    share_amounts out{};
    for (const auto &it : borrowers_) {
        for (std::size_t n = 0; n < resource_count; ++n) {
            out[n] += possible_use(it, n, now);
        }
    }
    return out;
}

share_amounts loan_allocator::wanted(base::instant now) const noexcept {
    share_amounts out{};
    for (const auto &it : borrowers_) {
        for (std::size_t n = 0; now < it.expires && n < resource_count; ++n) {
            out[n] += it.wanted[n];
        }
    }
    return out;
}

} // namespace dotterelstack::limits
