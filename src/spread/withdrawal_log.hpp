#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "spread/message.hpp"

namespace dotterelstack::spread {

/**
 * @brief Key withdrawals known to one process, in the order in which it learned them. Only grows; beyond the capacity
 * the oldest are dropped, which by then every configuration version contains.
 */
class withdrawal_log {
public:
    /** 4,096 hashes take about 0.8 MB; at a tenth of all changes, 3,400 a day, that is more than a day. */
    static constexpr std::size_t default_capacity = 4096;

    /** @param incarnation Random number of this start of the process, so that cursors of earlier ones are void. */
    explicit withdrawal_log(std::uint64_t incarnation, std::size_t capacity = default_capacity)
        : incarnation_{incarnation}, capacity_{capacity} {}

    /** @return The keys that were not known before. */
    std::vector<std::string> add(std::span<const std::string> keys);

    /** @return Keys learned since the cursor; all of them if the cursor is of another incarnation. */
    [[nodiscard]] std::vector<std::string> since(const cursor &from) const;

    [[nodiscard]] cursor end() const noexcept { return {incarnation_, first_ + keys_.size()}; }
    [[nodiscard]] bool contains(std::string_view key) const { return known_.contains(std::string{key}); }

private:
    std::uint64_t incarnation_;
    std::size_t capacity_;
    std::uint64_t first_{0};
    std::deque<std::string> keys_;
    std::unordered_set<std::string> known_;
};

} // namespace dotterelstack::spread
