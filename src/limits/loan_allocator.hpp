#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/**
 * @brief Loans of one row: the demand of each borrower and the amounts that it may have in use.
 *
 * Divides the lendable amount among the demands by max-min fairness. A grant counts as in use until it has expired at
 * its borrower, even if it never arrived. Not thread-safe.
 */
class loan_allocator {
public:
    /** @brief Sets the number of borrowers, which are numbered from 0. */
    void resize(std::size_t borrowers) { borrowers_.resize(borrowers); }

    /** @brief Forgets all demands and grants. */
    void clear() noexcept { borrowers_.clear(); }

    /** @brief Records a demand. @return False when the demand is late or repeated, and was ignored. */
    [[nodiscard]] bool record_demand(std::size_t borrower, const share_demand &demand, base::instant now);

    /**
     * @brief Grants a borrower its fair part; call it right after `record_demand`.
     * @param available Amounts that may be lent to all borrowers together.
     */
    [[nodiscard]] share_amounts lend(std::size_t borrower, const share_amounts &available, base::instant now);

    /** @return Amounts that all borrowers together may have in use. */
    [[nodiscard]] share_amounts lent(base::instant now) const noexcept;

    /** @return Amounts that all borrowers together want. */
    [[nodiscard]] share_amounts wanted(base::instant now) const noexcept;

private:
    struct sent_grant {
        std::uint64_t sequence;
        share_amounts lent;
        base::instant expires;
    };

    struct borrower_state {
        std::uint64_t sequence{0};
        share_amounts wanted{};
        share_amounts in_use{};
        base::instant expires{}; /**< End of validity of `wanted` and `in_use`, counted from the last demand. */
        std::vector<sent_grant> grants;
        std::array<base::instant, resource_count> turn_start{}; /**< Start of holding the extra unit. */
        std::array<base::instant, resource_count> last_extra{}; /**< Last grant of an extra unit. */
    };

    struct entitlement {
        std::uint64_t amount{0};
        bool extra{false}; /**< The amount contains a unit left over from integer division. */
    };

    [[nodiscard]] static std::uint64_t possible_use(const borrower_state &it, std::size_t resource,
                                                    base::instant now) noexcept;
    [[nodiscard]] static bool in_turn(const borrower_state &it, std::size_t resource, base::instant now) noexcept;
    [[nodiscard]] entitlement entitled(std::size_t self, std::size_t resource, std::uint64_t available,
                                       base::instant now) const;

    std::vector<borrower_state> borrowers_;
};

} // namespace dotterelstack::limits
