#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.hpp"
#include "limits/share_epoch.hpp"

namespace dotterelstack::limits {

/**
 * @brief Loans of one row: what each borrower wants, and what it may have in use.
 *
 * Divides an amount max-min fairly among the demands. A grant counts until it has expired at its borrower, whether or
 * not it arrived. Not thread-safe.
 */
class loan_allocator {
public:
    /** @brief Sets the number of borrowers, which are numbered from 0. */
    void resize(std::size_t borrowers) { borrowers_.resize(borrowers); }

    /** @brief Forgets all demands and grants. */
    void clear() noexcept { borrowers_.clear(); }

    /** @return False when the demand is late or repeated, and was ignored. */
    [[nodiscard]] bool take(std::size_t borrower, const share_demand &demand, base::instant now);

    /**
     * @brief Grants what is due to a borrower; call it right after its demand was taken.
     * @param available What may be lent to all borrowers together.
     */
    [[nodiscard]] share_amounts lend(std::size_t borrower, const share_amounts &available, base::instant now);

    /** @return What all borrowers together may have in use. */
    [[nodiscard]] share_amounts lent(base::instant now) const noexcept;

    /** @return What all borrowers together want. */
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
        base::instant expires{}; /**< Of `wanted` and `in_use`; the time of the last demand, extended. */
        std::vector<sent_grant> grants;
        std::array<base::instant, resource_count> turn_start{}; /**< Of the extra unit that this entry has or had. */
        std::array<base::instant, resource_count> last_extra{};
    };

    struct entitlement {
        std::uint64_t amount{0};
        bool extra{false}; /**< The amount contains a unit left over by rounding. */
    };

    [[nodiscard]] static std::uint64_t counted(const borrower_state &it, std::size_t resource,
                                               base::instant now) noexcept;
    [[nodiscard]] static bool in_turn(const borrower_state &it, std::size_t resource, base::instant now) noexcept;
    [[nodiscard]] entitlement entitled(std::size_t self, std::size_t resource, std::uint64_t available,
                                       base::instant now) const;

    std::vector<borrower_state> borrowers_;
};

} // namespace dotterelstack::limits
