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

/** @brief Epoch number in the demands and grants of floor loans, which belong to no epoch of the store. */
inline constexpr std::uint64_t floor_loan_epoch = 1;

/**
 * @brief Lends a part of this entry's own floors to entries that have none, because they started without the store.
 *
 * At most half of a floor is lent, and only what this entry neither uses nor may admit. Nothing else in the fleet needs
 * to know of a loan: the floors of lender and borrowers together stay the lender's floor. Not thread-safe.
 */
class floor_lender {
public:
    /** @param clock Must outlive this object. */
    explicit floor_lender(const base::clock &clock) : clock_{clock} {}

    /**
     * @brief Decides on a demand of an entry without floors.
     * @return Nothing when it is late or repeated, lending has stopped, or there are too many borrowers.
     */
    [[nodiscard]] std::optional<share_grant> answer(row_key row, const share_demand &demand);

    /**
     * @brief Sets a part of a floor aside. Call it before each change of the own allowance, which is smaller by the
     * result.
     */
    [[nodiscard]] share_amounts reserve(row_key row, const share_amounts &floor);

    /**
     * @brief Lends from what is reserved. Call it when the smaller allowance is in force.
     * @param in_use What this entry has in use; only concurrency outlives its use.
     */
    void offer(row_key row, const share_amounts &floor, const share_amounts &in_use);

    /** @brief Stops or resumes lending; loans that are out stay until they expire. */
    void set_lending_enabled(bool open) noexcept { open_ = open; }

    /** @return True when no loan can be in use any more. */
    [[nodiscard]] bool idle() const noexcept { return clock_.now() >= idle_from_; }

private:
    struct row_state {
        loan_allocator loans{};
        share_amounts reserved{};
        share_amounts lendable{};
    };

    const base::clock &clock_;
    bool open_{true};
    base::instant idle_from_{};
    std::map<std::string, std::size_t, std::less<>> borrowers_;
    std::map<row_order::owned, row_state, row_order> rows_;
};

} // namespace dotterelstack::limits
