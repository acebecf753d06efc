#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "usage/usage_record.hpp"

namespace dotterelstack::usage {

/**
 * @brief Records that an entry holds for its peers, in memory. When an owner is gone, its records are stored from here.
 * A wrong suspicion does no harm: the sealer counts a record that owner and peer have stored once. Used by one thread.
 */
class usage_replica_buffer {
public:
    /** @param batch_records Longest batch. */
    explicit usage_replica_buffer(std::size_t batch_records = 2000);

    /** @brief Holds records; repetitions have no effect. */
    void hold(const std::vector<usage_record> &records);

    /** @brief The owner has stored the records. */
    void release(std::string_view owner, const std::vector<std::uint64_t> &sequences);

    /** @brief The owner is gone, or silent for so long that it is taken for gone. */
    void on_owner_gone(const std::string &owner);

    /** @return The next batch to store for an owner that is gone. */
    [[nodiscard]] std::optional<usage_batch> next_batch();

    /** @brief Outcome of `store_batch`; after a failure `next_batch` returns the records again. */
    void on_flushed(const usage_batch &batch, const base::result<void> &stored);

    /** @return Owners of the records held. */
    [[nodiscard]] std::set<std::string, std::less<>> owners() const;

    /** @return Number of records held. */
    [[nodiscard]] std::size_t held() const noexcept;

private:
    std::size_t batch_records_;
    std::map<std::string, std::map<std::uint64_t, usage_record>, std::less<>> records_;
    std::set<std::string> gone_;
};

} // namespace dotterelstack::usage
