#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "gateway/member_record.hpp"

namespace dotterelstack::gateway {

/** @brief What a missing seal of a usage window means. */
enum class missing_seal : std::uint8_t {
    never_made, /**< The window has not been reported; it may be sealed now. */
    unknown     /**< It may have been reported, and the store has lost the seal. */
};

/**
 * @brief Final counts of usage windows that this process has seen, and what it knows about those it has not.
 *
 * The store owns the seals. When it returns from a copy, seals written since are missing there, although their windows
 * may have been reported. A holder of the lease that was there before the return knows all of them; it writes them
 * again, and states from which window on a missing seal was never made.
 */
class seal_memory {
public:
    void remember(std::uint64_t window, start_counts counts) { seals_.insert_or_assign(window, std::move(counts)); }

    [[nodiscard]] const std::map<std::uint64_t, start_counts> &seals() const noexcept { return seals_; }

    /** @return Counts of a window, or null. */
    [[nodiscard]] const start_counts *find(std::uint64_t window) const {
        const auto it = seals_.find(window);
        return it == seals_.end() ? nullptr : &it->second;
    }

    /** @brief Windows before this one may have been sealed without a trace. */
    void set_unsure_before(std::uint64_t window) noexcept { unsure_before_ = window; }
    [[nodiscard]] std::uint64_t unsure_before() const noexcept { return unsure_before_; }

    [[nodiscard]] missing_seal missing(std::uint64_t window) const noexcept {
        return window < unsure_before_ ? missing_seal::unknown : missing_seal::never_made;
    }

    void forget_before(std::uint64_t window) { seals_.erase(seals_.begin(), seals_.lower_bound(window)); }

private:
    std::map<std::uint64_t, start_counts> seals_;
    std::uint64_t unsure_before_{0};
};

} // namespace dotterelstack::gateway
