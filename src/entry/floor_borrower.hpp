#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "entry/peer_port.hpp"
#include "limits/floor_lender.hpp"
#include "limits/share_holder.hpp"
#include "limits/share_units.hpp"

namespace dotterelstack::entry {

/**
 * @brief Loans of an entry without floors, borrowed from the floors of one other entry at a time. Not thread-safe.
 *
 * A floor is the part of a limit that a member of the epoch may use without asking. On a change of the lender, loans of
 * the earlier lender are dropped here at once and expire at that lender.
 */
class floor_borrower {
public:
    /**
     * @param time Clock; must outlive this object.
     * @param entry Incarnation of this entry.
     * @param lender_timeout Time without a loan after which another lender is chosen.
     */
    floor_borrower(const base::clock &time, std::string entry, base::duration lender_timeout);

    /** @return True while there is no lender, or it has lent nothing for too long. */
    [[nodiscard]] bool needs_lender() const;

    /** @brief Chooses the next of the live entries. @return False when there is none. */
    [[nodiscard]] bool choose_lender(std::vector<peer_entry> peers);

    /** @brief Drops all loans and the lender, which needs no message as the loans expire there. */
    void stop();

    [[nodiscard]] bool active() const noexcept { return loans_.has_value(); }
    [[nodiscard]] const std::string &lender() const noexcept { return lender_; }

    /** @return Number of the choice of lender; it increases with each one. */
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }

    /** @param limit Limit of the row over all entries. */
    void set_limit(limits::row_key row, const limits::share_amounts &limit);

    /** @return Demand to the lender; nothing if there is no lender or nothing to send. */
    [[nodiscard]] std::optional<limits::share_demand> demand(limits::row_key row, const limits::share_amounts &limit,
                                                             const limits::row_use &use);

    /** @param term Of the lender that was asked. @return False if the grant is late or of an earlier lender. */
    [[nodiscard]] bool apply(std::uint64_t term, limits::row_key row, const limits::share_grant &grant);

    [[nodiscard]] limits::share_amounts allowance(limits::row_key row) const;

private:
    const base::clock &time_;
    const std::string entry_;
    const base::duration lender_timeout_;
    std::optional<limits::share_holder> loans_;
    std::string lender_;
    std::uint64_t term_{0};
    base::instant lender_expires_{};
};

} // namespace dotterelstack::entry
