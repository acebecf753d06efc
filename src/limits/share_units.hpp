#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "limits/admission.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/** @brief Use of one row as an entry reports it to the coordinator. */
struct row_use {
    share_amounts wanted{};
    share_amounts in_use{};
};

/** @return Declared limits as amounts: concurrency in requests, rates in thousandths per second. */
[[nodiscard]] share_amounts amounts_of(const row_limits &limits) noexcept;

/** @return The share to set in `admission`, for the limited resources of the row. */
[[nodiscard]] row_share share_of(const share_amounts &limit, const share_amounts &allowance) noexcept;

/**
 * @brief Computes the next demand from two snapshots of a row.
 * @param elapsed Time between the snapshots, greater than 0.
 * @return Concurrency and rates in that time plus the waiting requests, with 25% headroom for growth.
 */
[[nodiscard]] row_use use_of(const row_status &before, const row_status &now, base::duration elapsed) noexcept;

} // namespace dotterelstack::limits
