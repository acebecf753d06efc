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
 * @brief Coordinator side of the shared limits: lends the part of each row's limits that the floors do not take up.
 *
 * It lends only while its epoch is confirmed as current and the grants of earlier epochs have expired, so that a
 * paused or isolated coordinator of an earlier epoch never lends at the same time as its successor. Not thread-safe.
 */
class share_coordinator {
public:
    /** @param clock Must outlive this object. */
    explicit share_coordinator(const base::clock &clock);

    /** @brief Applies an epoch and discards all earlier grants. An older or equal epoch is ignored. */
    void set_epoch(const share_epoch &epoch);

    /**
     * @brief Extends the right to lend.
     * @param epoch Epoch that was found to be current.
     * @param asked_at Time before the query was sent. The response must come from a source that cannot be stale: the
     * holder of the `shares` lease, which checks its lease after the query has arrived.
     */
    void confirm(std::uint64_t epoch, base::instant asked_at) noexcept;

    /** @param limit Limit of the row over all entries; 0 = unlimited, of which nothing is lent. */
    void set_limit(row_key row, const share_amounts &limit);

    void remove_row(row_key row);

    /**
     * @brief Decides on a demand.
     * @return The grant; nothing when the demand is of another epoch, late, repeated or not from a member, or while
     * this coordinator may not lend. The entry then keeps its last grant until that expires.
     */
    [[nodiscard]] std::optional<share_grant> answer(row_key row, const share_demand &demand);

    /** @return Whether this coordinator may lend now. */
    [[nodiscard]] bool may_lend() const noexcept;

    [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }

private:
    struct row_state {
        share_amounts limit{};
        base::instant lends_from{}; /**< From then on all grants of an earlier row with the same key have expired. */
        loan_allocator loans;       /**< Indexed by member; empty until the first demand. */
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
    std::uint64_t floors_version_{1}; /**< Incremented whenever a reserved floor changes. */
    std::map<row_order::owned, row_state, row_order> rows_;
};

} // namespace dotterelstack::limits
