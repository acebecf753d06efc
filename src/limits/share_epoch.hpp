#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "limits/row.hpp"

namespace dotterelstack::limits {

/** @brief Lifetime of a grant. The holder counts it from just before it sent the demand. */
inline constexpr base::duration grant_lifetime = std::chrono::seconds{2};
/** @brief How long a coordinator may lend, counted from when it asked for confirmation that its epoch is current. */
inline constexpr base::duration confirmation_lifetime = std::chrono::seconds{3};
/** @brief Allowance for clocks that run at different rates on different hosts (1% of the longest lifetime). */
inline constexpr base::duration clock_margin = std::chrono::milliseconds{50};
/** @brief Time from the commit of an epoch until no grant of an earlier epoch can be in use. */
inline constexpr base::duration epoch_settling_time = confirmation_lifetime + grant_lifetime + clock_margin;

/** @brief Quantities limited in a row. Rates are in thousandths per second, so that small shares stay usable. */
enum class resource : std::uint8_t {
    concurrency,
    requests,
    prompt_tokens,
    generated_tokens
};
inline constexpr std::size_t resource_count = 4;
/** @brief One amount per resource. Whether 0 means unlimited or nothing depends on the context. */
using share_amounts = std::array<std::uint64_t, resource_count>;

/** @return True when some amount is not 0. */
[[nodiscard]] constexpr bool any_nonzero(const share_amounts &amounts) noexcept {
    return std::ranges::any_of(amounts, [](std::uint64_t it) { return it > 0; });
}

/** @brief The floor of one entry, that is its guaranteed part of every limit: the limit divided by the divisor, rounded
 * down. */
struct share_member {
    std::string entry;        /**< Entry incarnation: a restarted process is another member. */
    std::uint64_t divisor{0}; /**< 0 = no floor. */
};

/** @brief Value of the store object `shares/epoch`. */
struct share_epoch {
    std::uint64_t number{0};
    std::vector<share_member> members;
    std::vector<share_member> outstanding; /**< Larger floors of earlier epochs that entries may still be using. */
};

/**
 * @brief Plans the next epoch so that all floors that may be in use add up to at most the limit. Once every reachable
 * entry has applied the new epoch, the remaining floors add up to at most half of the limit.
 * @param previous Current epoch.
 * @param entries Members of the new epoch, without duplicates.
 * @param applied Entries known to have applied `previous`.
 * @param ended Entries whose process is known to have ended. Absence from the host list does not prove that.
 */
[[nodiscard]] share_epoch plan_epoch(const share_epoch &previous, std::span<const std::string> entries,
                                     std::span<const std::string> applied, std::span<const std::string> ended);

/** @return The member that lends a row in this epoch (rendezvous hash); empty when there are no members. */
[[nodiscard]] std::string_view coordinator_of(const share_epoch &epoch, row_key row) noexcept;

/** @return The floor for a limit; 0 when the divisor is 0. */
[[nodiscard]] constexpr std::uint64_t floor_of(std::uint64_t limit, std::uint64_t divisor) noexcept {
    return divisor == 0 ? 0 : limit / divisor;
}

/** @brief Request of an entry to the coordinator of a row. */
struct share_demand {
    std::uint64_t epoch{0};
    std::string entry;
    std::uint64_t sequence{0}; /**< Increases with every demand of this entry. */
    std::uint64_t applied{0};  /**< Sequence number of the last applied grant; earlier grants are no longer used. */
    share_amounts wanted{};    /**< Amounts beyond the floor; they also cap the grants of earlier demands. */
    share_amounts in_use{};    /**< Amounts beyond the floor that running requests occupy. */
};

/** @brief Response to a demand. It replaces every earlier grant of the row to this entry. */
struct share_grant {
    std::uint64_t epoch{0};
    std::uint64_t sequence{0}; /**< Sequence number of the demand that it answers. */
    share_amounts lent{};
};

} // namespace dotterelstack::limits
