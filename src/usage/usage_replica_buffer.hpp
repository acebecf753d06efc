#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "usage/usage_record.hpp"

namespace dotterelstack::usage {

/**
 * @brief In-memory copies of usage records that other entries (the owners) have replicated to this entry. If an owner
 * fails, its records are written to the store from here. A false failure detection is harmless, because the sealer
 * counts a record once even if both the owner and this entry have stored it. Not thread-safe.
 */
class usage_replica_buffer {
public:
    /** @param batch_records Maximum number of records in a batch. */
    explicit usage_replica_buffer(std::size_t batch_records = 2000);

    /** @brief Adds records; records that are already held are ignored. */
    void hold(const std::vector<usage_record> &records);

    /** @brief Drops records that the owner has stored. */
    void release(std::string_view owner, const std::vector<std::uint64_t> &sequences);

    /** @brief Marks an owner as failed or as silent for longer than the failure time-out. */
    void on_owner_gone(const std::string &owner);

    /** @return The next batch to store on behalf of a failed owner. */
    [[nodiscard]] std::optional<usage_batch> next_batch();

    /** @brief Reports the outcome of `store_batch`; after a failure `next_batch` returns the records again. */
    void on_flushed(const usage_batch &batch, const base::result<void> &stored);

    /** @return Owners of the records that are held. */
    [[nodiscard]] std::set<std::string, std::less<>> owners() const;

    /** @return Number of records that are held. */
    [[nodiscard]] std::size_t held() const noexcept;

private:
    std::size_t batch_records_;
    std::map<std::string, std::map<std::uint64_t, usage_record>, std::less<>> records_;
    std::set<std::string> failed_owners_;
};

} // namespace dotterelstack::usage
