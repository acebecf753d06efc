#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "limits/admission.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/** @brief What an entry reports about one row to its coordinator. */
struct row_use {
    share_amounts wanted{};
    share_amounts in_use{};
};

/** @return Declared limits as amounts: requests for concurrency, thousandths per second for rates. */
[[nodiscard]] share_amounts amounts_of(const row_limits &limits) noexcept;

/** @return The share to set in `admission`, for the limited resources of the row. */
[[nodiscard]] row_share share_of(const share_amounts &limit, const share_amounts &allowance) noexcept;

/**
 * @brief Derives the next demand from two looks at a row.
 * @param elapsed Time between them, greater than 0.
 * @return Concurrency and rates of that time, plus what waits, plus a quarter as headroom for growth.
 */
[[nodiscard]] row_use use_of(const row_status &before, const row_status &now, base::duration elapsed) noexcept;

} // namespace dotterelstack::limits
