#include "limits/share_ledger.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dotterelstack::limits {

namespace {

/** @brief How long an entry keeps a unit that cannot be divided. A change of hands idles it for up to
 * two intervals between demands, which short turns would pay too often. */
constexpr base::duration turn_length = std::chrono::seconds{4};

} // namespace

share_ledger::share_ledger(const base::clock &clock) : clock_{clock} {}

void share_ledger::set_epoch(const share_epoch &epoch) {
    if (epoch.number <= epoch_) {
        return;
    }
    epoch_ = epoch.number;
    lends_from_ = clock_.now() + epoch_settling_time;
    confirmed_until_ = {};
    members_.clear();
    borrowers_ = 0;
    ++floors_version_;
    for (const auto &it : epoch.members) {
        members_[it.entry] = {it.divisor, 0, borrowers_++};
    }
    for (const auto &it : epoch.outstanding) {
        members_[it.entry].outstanding = it.divisor;
    }
    for (auto &[key, row] : rows_) {
        row.borrowers.clear();
    }
}

void share_ledger::confirm(std::uint64_t epoch, base::instant asked_at) noexcept {
    if (epoch == epoch_) {
        confirmed_until_ = std::max(confirmed_until_, asked_at + confirmation_lifetime);
    }
}

bool share_ledger::may_lend() const noexcept {
    const auto now = clock_.now();
    return epoch_ != 0 && now >= lends_from_ && now < confirmed_until_;
}

void share_ledger::set_limit(row_key row, const share_amounts &limit) {
    auto it = rows_.find(row);
    if (it == rows_.end()) {
        it = rows_.emplace(row_order::owned{row.organisation, row.service}, row_state{}).first;
        it->second.lends_from = clock_.now() + grant_lifetime + clock_margin;
    }
    it->second.limit = limit;
    it->second.lendable_version = 0;
}

void share_ledger::remove_row(row_key row) {
    if (const auto it = rows_.find(row); it != rows_.end()) {
        rows_.erase(it);
    }
}

const share_amounts &share_ledger::lendable(row_state &row) const {
    if (row.lendable_version != floors_version_) {
        row.lendable = row.limit;
        for (const auto &[entry, it] : members_) {
            for (std::size_t n = 0; n < resource_count; ++n) {
                const auto floor = std::max(floor_of(row.limit[n], it.divisor), floor_of(row.limit[n], it.outstanding));
                row.lendable[n] -= std::min(row.lendable[n], floor);
            }
        }
        row.lendable_version = floors_version_;
    }
    return row.lendable;
}

std::uint64_t share_ledger::counted(const borrower &it, std::size_t resource, base::instant now) {
    std::uint64_t most = now < it.expires ? it.in_use[resource] : 0;
    for (const auto &grant : it.grants) {
        most = now < grant.expires ? std::max(most, grant.lent[resource]) : most;
    }
    return most;
}

bool share_ledger::in_turn(const borrower &it, std::size_t resource, base::instant now) noexcept {
    return now < it.last_extra[resource] + grant_lifetime && now < it.turn_start[resource] + turn_length;
}

share_ledger::entitlement share_ledger::entitled(const std::vector<borrower> &all, std::size_t self,
                                                 std::size_t resource, std::uint64_t available, base::instant now) {
    // Max-min fair division over the entries that want something: the level rises until everyone who wants at
    // most the level is satisfied. What is left over by rounding goes, in turns, to those that have waited
    // longest for an extra unit, so that a limit of 1 moves between the entries.
    const auto claims = [&](const borrower &it) { return now < it.expires && it.wanted[resource] > 0; };
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

std::optional<share_grant> share_ledger::answer(row_key row, const share_demand &demand) {
    const auto found = rows_.find(row);
    const auto member = members_.find(demand.entry);
    if (demand.epoch != epoch_ || member == members_.end()) {
        return std::nullopt;
    }
    // A demand of this epoch shows that the entry no longer uses its floor of an earlier one.
    if (std::exchange(member->second.outstanding, 0) != 0) {
        ++floors_version_;
    }
    if (!member->second.index || found == rows_.end()) {
        return std::nullopt;
    }
    const auto now = clock_.now();
    auto &state = found->second;
    state.borrowers.resize(borrowers_);
    const auto self = *member->second.index;
    auto &it = state.borrowers[self];
    if (demand.sequence <= it.sequence) {
        return std::nullopt;
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
    if (!may_lend() || now < state.lends_from) {
        return std::nullopt;
    }
    share_grant out{epoch_, demand.sequence, {}};
    const auto &available = lendable(state);
    for (std::size_t n = 0; n < resource_count; ++n) {
        if (it.wanted[n] == 0 || available[n] == 0) {
            continue;
        }
        std::uint64_t others = 0;
        for (std::size_t at = 0; at < state.borrowers.size(); ++at) {
            others += at == self ? 0 : counted(state.borrowers[at], n, now);
        }
        const auto due = entitled(state.borrowers, self, n, available[n], now);
        out.lent[n] = std::min(due.amount, available[n] - std::min(available[n], others));
        if (due.extra && out.lent[n] == due.amount) {
            it.turn_start[n] = in_turn(it, n, now) ? it.turn_start[n] : now;
            it.last_extra[n] = now;
        }
    }
    it.grants.push_back({demand.sequence, out.lent, it.expires});
    return out;
}

} // namespace dotterelstack::limits
