#include "limits/loan_allocator.hpp"

#include <algorithm>
#include <tuple>

namespace dotterelstack::limits {

namespace {

/** @brief How long an entry keeps a unit that cannot be divided. A change of hands idles it for up to
 * two intervals between demands, which short turns would pay too often. */
constexpr base::duration turn_length = std::chrono::seconds{4};

} // namespace

std::uint64_t loan_allocator::counted(const borrower_state &it, std::size_t resource, base::instant now) noexcept {
    std::uint64_t most = now < it.expires ? it.in_use[resource] : 0;
    for (const auto &grant : it.grants) {
        most = now < grant.expires ? std::max(most, grant.lent[resource]) : most;
    }
    return most;
}

bool loan_allocator::in_turn(const borrower_state &it, std::size_t resource, base::instant now) noexcept {
    return now < it.last_extra[resource] + grant_lifetime && now < it.turn_start[resource] + turn_length;
}

loan_allocator::entitlement loan_allocator::entitled(std::size_t self, std::size_t resource, std::uint64_t available,
                                                     base::instant now) const {
    // Max-min fair division over the entries that want something: the level rises until everyone who wants at
    // most the level is satisfied. What is left over by rounding goes, in turns, to those that have waited
    // longest for an extra unit, so that a limit of 1 moves between the entries.
    const auto &all = borrowers_;
    const auto claims = [&](const borrower_state &it) { return now < it.expires && it.wanted[resource] > 0; };
    const auto own = all[self].wanted[resource];
    std::uint64_t level = 0;
    std::uint64_t rest = available;
    std::uint64_t unsatisfied = 0;
    for (bool rises = true; rises;) {
        rest = available;
        unsatisfied = 0;
        for (const auto &it : all) {
            if (claims(it)) {
                it.wanted[resource] <= level ? rest -= it.wanted[resource] : ++unsatisfied;
            }
        }
        const auto next = unsatisfied == 0 ? level : rest / unsatisfied;
        rises = next > level;
        level = next;
    }
    if (unsatisfied == 0 || own <= level) {
        return {own, false};
    }
    const auto before = [&](std::size_t left, std::size_t right) {
        const auto rank = [&](std::size_t at) {
            return std::tuple{!in_turn(all[at], resource, now), all[at].last_extra[resource], at};
        };
        return rank(left) < rank(right);
    };
    std::uint64_t rank = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
        rank += claims(all[n]) && all[n].wanted[resource] > level && before(n, self) ? 1 : 0;
    }
    const bool extra = rank < rest % unsatisfied;
    return {level + (extra ? 1 : 0), extra};
}

bool loan_allocator::take(std::size_t borrower, const share_demand &demand, base::instant now) {
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
    // The entry caps earlier grants by what it now wants, whether or not they have arrived.
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
            others += at == borrower ? 0 : counted(borrowers_[at], n, now);
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
            out[n] += counted(it, n, now);
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
