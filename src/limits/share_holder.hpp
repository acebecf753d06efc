#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "limits/row.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/**
 * @brief Entry side of the shared limits: tracks how much of each row's limits this entry may use.
 *
 * The floor holds without any message; amounts beyond it are lent by the row's coordinator. Not thread-safe.
 */
class share_holder {
public:
    /**
     * @param clock Must outlive this object.
     * @param entry Incarnation of this entry, as listed in the epoch's members.
     */
    share_holder(const base::clock &clock, std::string entry);

    /**
     * @brief Applies an epoch; an older or equal one is ignored. A smaller floor takes effect at once, a larger one
     * after `epoch_settling_time`, when the grants of earlier epochs have expired.
     */
    void set_epoch(const share_epoch &epoch);

    /** @param limit Limit of the row over all entries; 0 = unlimited, which needs no share. */
    void set_limit(row_key row, const share_amounts &limit);

    void remove_row(row_key row);

    /**
     * @brief Builds the next demand of a row. The lifetime of its grant starts now, so call it just before sending.
     * Amounts that are no longer wanted are given up at once, without waiting for the response.
     * @param wanted Amounts that this entry could use, floor included.
     * @param in_use Amounts in use, floor included. Only concurrency stays in use after admission, until the request
     * ends.
     * @return Nothing while the row or the epoch is unknown.
     */
    [[nodiscard]] std::optional<share_demand> demand(row_key row, const share_amounts &wanted,
                                                     const share_amounts &in_use);

    /** @return False when the grant is late, a duplicate or of another epoch, and was ignored. */
    bool apply(row_key row, const share_grant &grant);

    /** @return Amounts that this entry may use now: floor plus unexpired grant; 0 for an unlimited resource. */
    [[nodiscard]] share_amounts allowance(row_key row) const;

    /** @return The floors of a row, which stay in force when no other process can be reached. */
    [[nodiscard]] share_amounts floor(row_key row) const;

    /** @return True while this entry has floors in force. */
    [[nodiscard]] bool has_floors() const noexcept { return divisor() != 0; }

    /** @return Number of the applied epoch, 0 before the first. */
    [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }

private:
    struct sent_demand {
        std::uint64_t sequence;
        base::instant at;
        share_amounts wanted;
    };

    struct row_state {
        share_amounts limit{};
        std::deque<sent_demand> sent;
        std::uint64_t applied{0};
        share_amounts lent{};
        base::instant expires{};
    };

    [[nodiscard]] std::uint64_t divisor() const noexcept;
    [[nodiscard]] share_amounts floors(const row_state &row) const noexcept;

    const base::clock &clock_;
    std::string entry_;
    std::uint64_t epoch_{0};
    std::uint64_t divisor_{0};
    std::uint64_t next_divisor_{0};
    base::instant next_from_{};
    std::uint64_t next_sequence_{1};
    std::map<row_order::owned, row_state, row_order> rows_;
};

} // namespace dotterelstack::limits
