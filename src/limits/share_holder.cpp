#include "limits/share_holder.hpp"

#include <algorithm>
#include <utility>

namespace dotterelstack::limits {

namespace {

/** @brief Number of unanswered demands remembered per row; grants for older demands are ignored. */
constexpr std::size_t max_sent_demands = 8;

/** @return Whether the first divisor gives a floor at most as large as the second. */
constexpr bool is_floor_at_most(std::uint64_t left, std::uint64_t right) noexcept {
    return left == 0 || (right != 0 && left >= right);
}

void cap(share_amounts &amounts, const share_amounts &most) noexcept {
    for (std::size_t n = 0; n < resource_count; ++n) {
        amounts[n] = std::min(amounts[n], most[n]);
    }
}

} // namespace

share_holder::share_holder(const base::clock &clock, std::string entry) : clock_{clock}, entry_{std::move(entry)} {}

std::uint64_t share_holder::divisor() const noexcept {
    return clock_.now() >= next_from_ ? next_divisor_ : divisor_;
}

void share_holder::set_epoch(const share_epoch &epoch) {
    if (epoch.number <= epoch_) {
        return;
    }
    const auto now = clock_.now();
    const auto found = std::find_if(epoch.members.begin(), epoch.members.end(),
                                    [this](const share_member &it) { return it.entry == entry_; });
    divisor_ = divisor();
    next_divisor_ = found == epoch.members.end() ? 0 : found->divisor;
    next_from_ = is_floor_at_most(next_divisor_, divisor_) ? now : now + epoch_settling_time;
    epoch_ = epoch.number;
}

void share_holder::set_limit(row_key row, const share_amounts &limit) {
    auto it = rows_.find(row);
    if (it == rows_.end()) {
        it = rows_.emplace(row_order::owned{row.organisation, row.service}, row_state{}).first;
    }
    it->second.limit = limit;
}

void share_holder::remove_row(row_key row) {
    if (const auto it = rows_.find(row); it != rows_.end()) {
        rows_.erase(it);
    }
}

share_amounts share_holder::floors(const row_state &row) const noexcept {
    share_amounts out{};
    std::transform(row.limit.begin(), row.limit.end(), out.begin(),
                   [by = divisor()](std::uint64_t limit) { return floor_of(limit, by); });
    return out;
}

std::optional<share_demand> share_holder::demand(row_key row, const share_amounts &wanted,
                                                 const share_amounts &in_use) {
    const auto found = rows_.find(row);
    if (found == rows_.end() || epoch_ == 0) {
        return std::nullopt;
    }
    auto &state = found->second;
    share_demand out{epoch_, entry_, next_sequence_++, state.applied, {}, {}};
    const auto floor = floors(state);
    for (std::size_t n = 0; n < resource_count; ++n) {
        out.wanted[n] = wanted[n] - std::min(wanted[n], floor[n]);
        out.in_use[n] = in_use[n] - std::min(in_use[n], floor[n]);
    }
    cap(state.lent, out.wanted);
    state.sent.push_back({out.sequence, clock_.now(), out.wanted});
    if (state.sent.size() > max_sent_demands) {
        state.sent.pop_front();
    }
    return out;
}

bool share_holder::apply(row_key row, const share_grant &grant) {
    const auto found = rows_.find(row);
    if (found == rows_.end() || grant.epoch != epoch_) {
        return false;
    }
    auto &state = found->second;
    const auto sent = std::find_if(state.sent.begin(), state.sent.end(),
                                   [&](const sent_demand &it) { return it.sequence == grant.sequence; });
    if (sent == state.sent.end()) {
        return false;
    }
    state.lent = grant.lent;
    std::for_each(sent + 1, state.sent.end(), [&](const sent_demand &it) { cap(state.lent, it.wanted); });
    state.expires = sent->at + grant_lifetime;
    state.applied = grant.sequence;
    // Grants for earlier demands are ignored from now on; `applied` in the next demand tells the coordinator so.
    state.sent.erase(state.sent.begin(), sent + 1);
    return true;
}

share_amounts share_holder::floor(row_key row) const {
    const auto found = rows_.find(row);
    return found == rows_.end() ? share_amounts{} : floors(found->second);
}

share_amounts share_holder::allowance(row_key row) const {
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return {};
    }
    auto out = floors(found->second);
    if (clock_.now() < found->second.expires) {
        for (std::size_t n = 0; n < resource_count; ++n) {
            out[n] += found->second.lent[n];
        }
    }
    return out;
}

} // namespace dotterelstack::limits
