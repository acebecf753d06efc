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
 * @brief Append-only log of the key withdrawals known to one process, in order of arrival. Beyond the capacity the
 * oldest are dropped; by then the configuration itself contains them.
 */
class withdrawal_log {
public:
    /** 4,096 hashes take about 0.8 MB and cover over a day: withdrawals are a tenth of all changes, 3,400 a day. */
    static constexpr std::size_t default_capacity = 4096;

    /** @param incarnation Random number drawn at process start; invalidates the cursors of earlier starts. */
    explicit withdrawal_log(std::uint64_t incarnation, std::size_t capacity = default_capacity)
        : incarnation_{incarnation}, capacity_{capacity} {}

    /** @return The keys that were new to the log. */
    std::vector<std::string> add(std::span<const std::string> keys);

    /** @return Keys added since the cursor; all keys if the cursor is of another incarnation. */
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
