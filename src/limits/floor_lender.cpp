#include "limits/floor_lender.hpp"

#include <algorithm>

namespace dotterelstack::limits {

namespace {

/** @brief Borrowers per lender; with more of them each would get only a negligible part of half a floor. */
constexpr std::size_t max_borrowers = 16;

} // namespace

std::optional<share_grant> floor_lender::answer(row_key row, const share_demand &demand) {
    if (!lending_enabled_ || demand.epoch != floor_loan_epoch) {
        return std::nullopt;
    }
    const auto now = clock_.now();
    if (idle()) {
        borrowers_.clear();
        rows_.clear();
    }
    auto borrower = borrowers_.find(demand.entry);
    if (borrower == borrowers_.end()) {
        if (borrowers_.size() >= max_borrowers) {
            return std::nullopt;
        }
        borrower = borrowers_.emplace(demand.entry, borrowers_.size()).first;
    }
    auto found = rows_.find(row);
    if (found == rows_.end()) {
        found = rows_.emplace(row_order::owned{row.organisation, row.service}, row_state{}).first;
    }
    auto &state = found->second;
    state.loans.resize(borrowers_.size());
    if (!state.loans.record_demand(borrower->second, demand, now)) {
        return std::nullopt;
    }
    idle_from_ = now + grant_lifetime + clock_margin;
    return share_grant{floor_loan_epoch, demand.sequence, state.loans.lend(borrower->second, state.lendable, now)};
}

share_amounts floor_lender::reserve(row_key row, const share_amounts &floor) {
    const auto found = rows_.find(row);
    if (found == rows_.end() || idle()) {
        return {};
    }
    const auto now = clock_.now();
    auto &state = found->second;
    const auto lent = state.loans.lent(now);
    const auto wanted = state.loans.wanted(now);
    for (std::size_t n = 0; n < resource_count; ++n) {
        const auto offered = lending_enabled_ ? std::min(wanted[n], floor[n] / 2) : 0;
        state.reserved[n] = std::max(lent[n], offered);
        state.lendable[n] = std::min(state.lendable[n], state.reserved[n]);
    }
    return state.reserved;
}

void floor_lender::offer(row_key row, const share_amounts &floor, const share_amounts &in_use) {
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return;
    }
    auto &state = found->second;
    for (std::size_t n = 0; n < resource_count; ++n) {
        const auto unused = floor[n] - std::min(floor[n], in_use[n]);
        state.lendable[n] = std::min(state.reserved[n], unused);
    }
}

} // namespace dotterelstack::limits
