#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "limits/loan_allocator.hpp"
#include "limits/row.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/** @brief Epoch number in demands and grants of floor loans, which do not depend on the epoch in the store. */
inline constexpr std::uint64_t floor_loan_epoch = 1;

/**
 * @brief Lends part of this entry's floors to entries that have none because the store was down when they started.
 *
 * At most half of a floor is lent, and only what this entry neither uses nor may admit. No other process needs to know
 * of a loan, because lender and borrowers together never use more than the lender's floor. Not thread-safe.
 */
class floor_lender {
public:
    /** @param clock Must outlive this object. */
    explicit floor_lender(const base::clock &clock) : clock_{clock} {}

    /**
     * @brief Decides on a demand of an entry without floors.
     * @return The grant; nothing when the demand is late or repeated, lending is disabled, or there are too many
     * borrowers.
     */
    [[nodiscard]] std::optional<share_grant> answer(row_key row, const share_demand &demand);

    /**
     * @brief Reserves part of a floor for loans. Call it before each change of this entry's own allowance, which must
     * be reduced by the result.
     */
    [[nodiscard]] share_amounts reserve(row_key row, const share_amounts &floor);

    /**
     * @brief Makes the reserved amounts available to borrowers. Call it once the reduced allowance is in force.
     * @param in_use Amounts this entry has in use. Only concurrency stays in use after admission, until the request
     * ends.
     */
    void offer(row_key row, const share_amounts &floor, const share_amounts &in_use);

    /** @brief Disables or enables new loans; existing loans remain until they expire. */
    void set_lending_enabled(bool enabled) noexcept { lending_enabled_ = enabled; }

    /** @return True when every loan has expired. */
    [[nodiscard]] bool idle() const noexcept { return clock_.now() >= idle_from_; }

private:
    struct row_state {
        loan_allocator loans{};
        share_amounts reserved{};
        share_amounts lendable{};
    };

    const base::clock &clock_;
    bool lending_enabled_{true};
    base::instant idle_from_{};
    std::map<std::string, std::size_t, std::less<>> borrowers_;
    std::map<row_order::owned, row_state, row_order> rows_;
};

} // namespace dotterelstack::limits
