#include "limits/share_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace dotterelstack::limits {

share_coordinator::share_coordinator(const base::clock &clock) : clock_{clock} {}

void share_coordinator::set_epoch(const share_epoch &epoch) {
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
        row.loans.clear();
    }
}

void share_coordinator::confirm(std::uint64_t epoch, base::instant asked_at) noexcept {
    if (epoch == epoch_) {
        confirmed_until_ = std::max(confirmed_until_, asked_at + confirmation_lifetime);
    }
}

bool share_coordinator::may_lend() const noexcept {
    const auto now = clock_.now();
    return epoch_ != 0 && now >= lends_from_ && now < confirmed_until_;
}

void share_coordinator::set_limit(row_key row, const share_amounts &limit) {
    auto it = rows_.find(row);
    if (it == rows_.end()) {
        it = rows_.emplace(row_order::owned{row.organisation, row.service}, row_state{}).first;
        it->second.lends_from = clock_.now() + grant_lifetime + clock_margin;
    }
    it->second.limit = limit;
    it->second.lendable_version = 0;
}

void share_coordinator::remove_row(row_key row) {
    if (const auto it = rows_.find(row); it != rows_.end()) {
        rows_.erase(it);
    }
}

const share_amounts &share_coordinator::lendable(row_state &row) const {
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

std::optional<share_grant> share_coordinator::answer(row_key row, const share_demand &demand) {
    const auto found = rows_.find(row);
    const auto member = members_.find(demand.entry);
    if (demand.epoch != epoch_ || member == members_.end()) {
        return std::nullopt;
    }
    // A demand of this epoch proves that the entry no longer uses its floor of an earlier epoch.
    if (std::exchange(member->second.outstanding, 0) != 0) {
        ++floors_version_;
    }
    if (!member->second.index || found == rows_.end()) {
        return std::nullopt;
    }
    const auto now = clock_.now();
    auto &state = found->second;
    state.loans.resize(borrowers_);
    const auto self = *member->second.index;
    if (!state.loans.record_demand(self, demand, now) || !may_lend() || now < state.lends_from) {
        return std::nullopt;
    }
    return share_grant{epoch_, demand.sequence, state.loans.lend(self, lendable(state), now)};
}

} // namespace dotterelstack::limits
