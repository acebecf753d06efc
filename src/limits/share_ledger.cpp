#include "limits/share_ledger.hpp"

#include <algorithm>
#include <tuple>

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
    for (const auto &it : epoch.members) {
        members_[it.entry] = {it.divisor, 0, true};
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
}

void share_ledger::remove_row(row_key row) {
    if (const auto it = rows_.find(row); it != rows_.end()) {
        rows_.erase(it);
    }
}

share_amounts share_ledger::lendable(const share_amounts &limit) const {
    auto out = limit;
    for (const auto &[entry, it] : members_) {
        for (std::size_t n = 0; n < resource_count; ++n) {
            out[n] -= std::min(out[n], std::max(floor_of(limit[n], it.divisor), floor_of(limit[n], it.outstanding)));
        }
    }
    return out;
}

std::uint64_t share_ledger::counted(const borrower &it, std::size_t resource, base::instant now) {
    std::uint64_t most = now < it.expires ? it.in_use[resource] : 0;
    for (const auto &grant : it.grants) {
        most = now < grant.expires ? std::max(most, grant.lent[resource]) : most;
    }
    return most;
}

share_ledger::entitlement share_ledger::entitled(const row_state &row, std::string_view entry, std::size_t resource,
                                                 std::uint64_t available, base::instant now) {
    // Max-min fair division over the entries that want something; what is left over by rounding goes to those
    // that have waited longest for an extra unit, in turns, so that a limit of 1 moves between the entries.
    struct claimant {
        std::uint64_t wanted;
        bool waits; /**< False while its turn with an extra unit lasts. */
        base::instant last_extra;
        std::string_view name;
    };
    std::vector<claimant> claimants;
    for (const auto &[name, it] : row.borrowers) {
        if (now < it.expires && it.wanted[resource] > 0) {
            const bool holds =
                now < it.last_extra[resource] + grant_lifetime && now < it.turn_start[resource] + turn_length;
            claimants.push_back({it.wanted[resource], !holds, it.last_extra[resource], name});
        }
    }
    std::sort(claimants.begin(), claimants.end(), [](const claimant &left, const claimant &right) {
        return std::tie(left.wanted, left.name) < std::tie(right.wanted, right.name);
    });
    std::size_t first = 0;
    while (first < claimants.size() && claimants[first].wanted <= available / (claimants.size() - first)) {
        if (claimants[first].name == entry) {
            return {claimants[first].wanted, false};
        }
        available -= claimants[first].wanted;
        ++first;
    }
    if (first == claimants.size()) {
        return {};
    }
    const auto base_share = available / (claimants.size() - first);
    const auto extras = available % (claimants.size() - first);
    std::sort(claimants.begin() + static_cast<std::ptrdiff_t>(first), claimants.end(),
              [](const claimant &left, const claimant &right) {
                  return std::tie(left.waits, left.last_extra, left.name) <
                         std::tie(right.waits, right.last_extra, right.name);
              });
    for (std::size_t n = first; n < claimants.size(); ++n) {
        if (claimants[n].name == entry) {
            const bool extra = n - first < extras;
            return {base_share + (extra ? 1 : 0), extra};
        }
    }
    return {};
}

std::optional<share_grant> share_ledger::answer(row_key row, const share_demand &demand) {
    const auto found = rows_.find(row);
    const auto member = members_.find(demand.entry);
    if (demand.epoch != epoch_ || member == members_.end()) {
        return std::nullopt;
    }
    // A demand of this epoch shows that the entry no longer uses its floor of an earlier one.
    member->second.outstanding = 0;
    if (!member->second.borrows || found == rows_.end()) {
        return std::nullopt;
    }
    const auto now = clock_.now();
    auto &state = found->second;
    auto &it = state.borrowers[demand.entry];
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
    const auto available = lendable(state.limit);
    for (std::size_t n = 0; n < resource_count; ++n) {
        std::uint64_t others = 0;
        for (const auto &[name, other] : state.borrowers) {
            others += name == demand.entry ? 0 : counted(other, n, now);
        }
        const auto due = entitled(state, demand.entry, n, available[n], now);
        out.lent[n] = std::min(due.amount, available[n] - std::min(available[n], others));
        if (due.extra && out.lent[n] == due.amount) {
            const bool holds = now < it.last_extra[n] + grant_lifetime && now < it.turn_start[n] + turn_length;
            it.turn_start[n] = holds ? it.turn_start[n] : now;
            it.last_extra[n] = now;
        }
    }
    it.grants.push_back({demand.sequence, out.lent, it.expires});
    return out;
}

} // namespace dotterelstack::limits
