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
    base::duration retry_after{std::chrono::seconds{2}}; /**< Delay after a failed flush. */
    std::size_t batch_records{2000};                     /**< 2,000 records take about 40 KB. */
};

/** @brief Records that a peer no longer needs to hold, because they are in the store. */
struct hold_release {
    std::string peer;
    std::string owner;
    std::vector<std::uint64_t> sequences;
};

/**
 * @brief Usage records of one entry: numbers them, tracks which peer holds a copy and flushes them in batches.
 *
 * The last chunk of a response is sent only after `on_held`, so that the record of a served request is not lost if this
 * entry fails. Records are kept until they are in the store. Not thread-safe.
 */
class usage_recorder {
public:
    usage_recorder(const base::clock &clock, recorder_settings settings);

    /** @param window Open window read from the store; a smaller number than before is ignored. */
    void on_open_window(std::uint64_t window) noexcept;

    /** @brief Records a request. @return The record, to be replicated to a peer. */
    usage_record record(std::string request, std::string organisation, std::string service, std::uint64_t prompt_tokens,
                        std::uint64_t generated_tokens);

    /** @brief A peer confirmed that it holds a record. @return True if the last chunk of the response may be sent. */
    bool on_held(std::uint64_t sequence, const std::string &peer);

    /** @brief A peer has failed. @return Records that must be replicated to another peer. */
    [[nodiscard]] std::vector<usage_record> on_peer_gone(std::string_view peer);

    /** @return Records that no peer holds yet. */
    [[nodiscard]] std::vector<usage_record> not_held() const;

    /** @return Peers that hold records. */
    [[nodiscard]] std::set<std::string, std::less<>> peers() const;

    /** @brief Makes the next flush due immediately, for a graceful stop. */
    void flush_now() noexcept;

    /** @return The batch to store if one is due. The same batch is returned until it has been stored. */
    [[nodiscard]] std::optional<usage_batch> next_batch();

    /** @brief Reports the outcome of `store_batch`. @return Records that peers may drop. */
    [[nodiscard]] std::vector<hold_release> on_flushed(const usage_batch &batch, const base::result<void> &stored);

    /** @return Number of records that are not yet in the store. */
    [[nodiscard]] std::size_t unstored_count() const noexcept { return records_.size(); }

private:
    struct pending_record {
        usage_record item;
        std::string peer;
    };

    const base::clock &clock_;
    recorder_settings settings_;
    std::uint64_t window_{1};
    std::uint64_t last_sequence_{0};
    std::map<std::uint64_t, pending_record> records_;
    std::optional<usage_batch> pending_batch_;
    std::uint64_t flush_end_{0}; /**< Last sequence number of the flush in progress. */
    base::instant flush_due_{};
};

} // namespace dotterelstack::usage
