#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"
#include "limits/loan_allocator.hpp"
#include "limits/row.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/**
 * @brief Coordinator side of the shared limits: lends what the floors leave of each row.
 *
 * Lends only while the epoch is confirmed as current and its predecessors' grants have expired, so that a
 * paused or isolated coordinator of an earlier epoch never lends next to its successor. Not thread-safe.
 */
class share_coordinator {
public:
    /** @param clock Must outlive this object. */
    explicit share_coordinator(const base::clock &clock);

    /** @brief Applies an epoch; an older or equal one is ignored. All grants of earlier epochs are forgotten. */
    void set_epoch(const share_epoch &epoch);

    /**
     * @brief Extends the right to lend.
     * @param epoch Epoch that was found to be current.
     * @param asked_at Instant before the question was sent. The answer must come from a source that cannot be
     * stale: the holder of the `shares` lease, checked after the question arrived.
     */
    void confirm(std::uint64_t epoch, base::instant asked_at) noexcept;

    /** @param limit Limit of the row over all entries; 0 = unlimited, of which nothing is lent. */
    void set_limit(row_key row, const share_amounts &limit);

    void remove_row(row_key row);

    /**
     * @brief Decides on a demand.
     * @return Nothing when the demand is of another epoch, late or repeated, of no member, or while this
     * coordinator may not lend; the entry then keeps what it has until it expires.
     */
    [[nodiscard]] std::optional<share_grant> answer(row_key row, const share_demand &demand);

    /** @return Whether this coordinator may lend now. */
    [[nodiscard]] bool may_lend() const noexcept;

    [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }

private:
    struct row_state {
        share_amounts limit{};
        base::instant lends_from{}; /**< Grants of a removed row that had the same key have expired then. */
        loan_allocator loans;       /**< By the member's index; empty until the first demand. */
        share_amounts lendable{};
        std::uint64_t lendable_version{0};
    };

    struct member_state {
        std::uint64_t divisor{0};
        std::uint64_t outstanding{0};
        std::optional<std::size_t> index; /**< Absent for entries that have left the epoch. */
    };

    [[nodiscard]] const share_amounts &lendable(row_state &row) const;

    const base::clock &clock_;
    std::uint64_t epoch_{0};
    base::instant lends_from_{};
    base::instant confirmed_until_{};
    std::unordered_map<std::string, member_state> members_;
    std::size_t borrowers_{0};
    std::uint64_t floors_version_{1}; /**< Changes whenever a reserved floor changes. */
    std::map<row_order::owned, row_state, row_order> rows_;
};

} // namespace dotterelstack::limits
