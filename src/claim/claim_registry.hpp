#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "claim/claim_bucket.hpp"

namespace dotterelstack::claim {

/** @brief A request that carries an idempotency key. */
struct claim_request {
    std::string request_id; /**< Unique for each received request, including repeats. */
    std::string organisation;
    std::string service;
    std::string key;
    std::string body_hash; /**< Covers method, path and body. */
};

/** @brief What the caller must do with a request. */
enum class claim_verdict {
    run,         /**< Dispatch it once, before `run_before`. */
    replay,      /**< Answer with the stored response. */
    in_progress, /**< Another request with this key is running; refuse as not run, to be retried later. */
    unknown,     /**< An earlier request with this key may have run; report that and run nothing. */
    key_reused,  /**< The key was used by a request with another body; refuse. */
    refused      /**< Not claimed because the store is not usable or the bucket is full; refuse as not run. */
};

/** @brief Decision on one request. */
struct claim_decision {
    std::string request_id;
    claim_verdict verdict{claim_verdict::refused};
    stored_response answer{};   /**< For `replay`. */
    base::instant run_before{}; /**< For `run`: the request must not be dispatched after this time. */
    base::error reason{};       /**< For `refused`. */
};

/** @brief Settings of a `claim_registry`. */
struct claim_settings {
    std::string owner;       /**< Incarnation of this entry. */
    std::size_t buckets{64}; /**< Must be the same for all entries. */
    std::size_t bucket_bytes{std::size_t{256} << 10U};
    std::size_t answer_bytes{std::size_t{4} << 10U}; /**< Longest response body that is stored for repeats. */
    std::uint64_t keep_windows{60};          /**< Number of sealed usage windows after which a claim is removed. */
    std::uint64_t unknown_after_windows{10}; /**< Sealed windows after which a claim without outcome is unknown. */
    base::duration commit_every{std::chrono::milliseconds{100}}; /**< Minimum time between two commits. */
    base::duration claim_timeout{std::chrono::seconds{2}}; /**< Longest wait of a request for its claim to be stored. */
    base::duration dispatch_timeout{std::chrono::seconds{10}}; /**< Counted from before the claim's write. */
};

/** @brief Conditional update of one bucket. */
struct claim_write {
    std::string key;
    nlohmann::json value;
    std::uint64_t expected{0};
};

/**
 * @brief Idempotency claims of one entry. Requests and outcomes are batched by bucket and each batch is committed in
 * one conditional update.
 *
 * A request runs only after its claim is known to be in the store. Two entries therefore never run the same key, and an
 * entry that is killed leaves a claim that is later reported as unknown. Used by one thread.
 */
class claim_registry {
public:
    /** @brief Returns whether an owner's process is known to have ended, so that its open claims become unknown. */
    using owner_gone = std::function<bool(std::string_view owner)>;

    claim_registry(const base::clock &clock, claim_settings settings, owner_gone has_ended);

    /** @brief Queues a request; the decision is returned by `take_decisions`. */
    void submit(claim_request request);

    /** @brief Reports that the request ran and was answered. */
    void finish(std::string_view request_id, stored_response answer);

    /** @brief Reports that the request may have run. */
    void finish_unknown(std::string_view request_id);

    /** @brief Reports evidence that the request did not run, which frees its key. */
    void finish_not_run(std::string_view request_id);

    /** @param count Number of sealed usage windows; a lower number than before is ignored. */
    void on_sealed_windows(std::uint64_t count);

    /** @return Bucket to read and commit next, if one is due. */
    [[nodiscard]] std::optional<std::size_t> next_bucket();

    /** @return Earliest time at which `next_bucket` can return a bucket, given the pending work. */
    [[nodiscard]] base::instant next_due() const;

    /** @brief Outcome of reading a bucket. @return The update to write, or nothing when none is needed. */
    [[nodiscard]] std::optional<claim_write> on_read(std::size_t bucket,
                                                     const base::result<std::optional<store::object>> &found);

    /** @brief Outcome of the write returned by `on_read` (`store::settled_write`). */
    void on_written(std::size_t bucket, const base::result<std::uint64_t> &written);

    /** @return Decisions made since the last call. */
    [[nodiscard]] std::vector<claim_decision> take_decisions();

private:
    enum class outcome {
        answered,
        unknown,
        not_run
    };

    struct pending_claim {
        claim_request request;
        std::string key_hash;
        base::instant since;
        std::optional<std::uint64_t> attempted; /**< Version expected by the last write that contained the claim. */
        base::instant sent{};
        bool committing{false};
    };

    struct pending_outcome {
        std::string key_hash;
        std::string request_id;
        outcome kind{outcome::unknown};
        stored_response answer;
        std::optional<std::uint64_t> attempted; /**< Set for a claim whose write has an unknown outcome. */
    };

    struct bucket_work {
        std::vector<pending_claim> claims;
        std::vector<pending_outcome> outcomes;
        std::size_t outcomes_written{0};
    };

    struct draft {
        claim_bucket bucket;
        std::uint64_t version{0};
        std::size_t bytes{0};
        bool changed{false};
    };

    void add_outcome(std::string_view request_id, outcome kind, stored_response answer);
    void remove_expired(draft &it) const;
    void apply(draft &it, const pending_outcome &update) const;
    [[nodiscard]] std::optional<claim_decision> evaluate(draft &it, pending_claim &claim);
    [[nodiscard]] bool is_unknown(const claim_entry &entry, std::uint64_t sealed) const;
    [[nodiscard]] std::optional<claim_write> prepare(std::size_t bucket, draft it);
    void run(const pending_claim &claim, std::size_t bucket);
    void refuse_pending(std::size_t bucket, const base::error &reason, bool only_overdue);

    const base::clock &clock_;
    claim_settings settings_;
    owner_gone owner_gone_;
    std::uint64_t sealed_{0};
    std::map<std::size_t, bucket_work> work_;
    std::map<std::size_t, std::uint64_t> versions_; /**< Highest version seen of each bucket. */
    std::map<std::string, std::pair<std::size_t, std::string>, std::less<>> running_;
    std::vector<claim_decision> decisions_;
    std::size_t last_bucket_{0};
    base::instant commit_due_{};
};

/**
 * @brief Reads and commits the next due bucket; blocks for the store calls only.
 * @return False when nothing was due; wait for a request or until `next_due`.
 */
bool drive_claims(claim_registry &registry, store::object_store &store, base::id_source &ids);

} // namespace dotterelstack::claim
