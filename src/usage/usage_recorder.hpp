#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "usage/sequence_set.hpp"
#include "usage/usage_record.hpp"

namespace dotterelstack::usage {

/** @brief Settings of a `usage_recorder`. */
struct recorder_settings {
    std::string owner; /**< Incarnation of this entry; never reused after a restart. */
    base::duration flush_every{std::chrono::seconds{30}};
    base::duration retry_after{std::chrono::seconds{2}}; /**< Pause after a failed flush. */
    std::size_t batch_records{2000};                     /**< 2,000 records take about 40 KB. */
};

/** @brief Records at a peer that need not be held any longer. */
struct hold_release {
    std::string peer;
    std::string owner;
    std::vector<std::uint64_t> sequences;
};

/**
 * @brief Usage of one entry: numbers the records, has them held by a peer and flushes them in batches.
 *
 * The last chunk of a response is released only after `on_held`, so that a served request survives this entry. Records
 * stay here until they are in the store. Used by one thread.
 */
class usage_recorder {
public:
    usage_recorder(const base::clock &clock, recorder_settings settings);

    /** @param window Open window read from the store; never goes down. */
    void on_open_window(std::uint64_t window) noexcept;

    /** @brief Counts a request. @return The record, to be held by a peer. */
    usage_record record(std::string request, std::string organisation, std::string service, std::uint64_t prompt_tokens,
                        std::uint64_t generated_tokens);

    /** @brief A peer confirmed that it holds a record. @return True if the record is known: release its last chunk. */
    bool on_held(std::uint64_t sequence, const std::string &peer);

    /** @brief A peer is gone. @return Records that must be held elsewhere. */
    [[nodiscard]] std::vector<usage_record> on_peer_gone(std::string_view peer);

    /** @return Records that no peer holds yet. */
    [[nodiscard]] std::vector<usage_record> not_held() const;

    /** @return Peers that hold records. */
    [[nodiscard]] std::set<std::string, std::less<>> peers() const;

    /** @brief Makes the next flush due at once, for a graceful stop. */
    void flush_now() noexcept;

    /** @return The batch to store, when one is due. It stays the same until it is stored. */
    [[nodiscard]] std::optional<usage_batch> next_batch();

    /** @brief Outcome of `store_batch`. @return Holds to release at peers. */
    [[nodiscard]] std::vector<hold_release> on_flushed(const usage_batch &batch, const base::result<void> &stored);

    /** @return Records not yet in the store. */
    [[nodiscard]] std::size_t unstored_count() const noexcept { return records_.size(); }

private:
    struct entry {
        usage_record item;
        std::string peer;
    };

    const base::clock &clock_;
    recorder_settings settings_;
    std::uint64_t window_{1};
    std::uint64_t last_sequence_{0};
    std::map<std::uint64_t, entry> records_;
    std::optional<usage_batch> flushing_;
    std::uint64_t flush_until_{0}; /**< Last sequence number of the flush in progress. */
    base::instant flush_due_{};
};

} // namespace dotterelstack::usage
