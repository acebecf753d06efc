#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "lease/authority_check.hpp"
#include "lease/lease_record.hpp"

namespace dotterelstack::lease {

/** @brief Settings of a candidate for a lease. */
struct lease_settings {
    std::string name;   /**< Name of the lease, for example `planner`, `billing` or `shares`. */
    std::string holder; /**< Incarnation of this process; never reused after a restart. */
    base::duration term{std::chrono::seconds{5}};
    base::duration margin{std::chrono::milliseconds{500}}; /**< Covers clock drift and the age of agents' reads. */
    base::duration send_timeout{std::chrono::seconds{1}};  /**< Deadline of every order sent under the lease. */
    base::duration renew_every{std::chrono::milliseconds{1500}};
    base::duration standby_read_every{std::chrono::seconds{2}};
    base::duration retry_after{std::chrono::milliseconds{200}}; /**< Pause after a failed store call. */
};

/** @brief What the caller must do next. */
enum class lease_step {
    wait,
    read,
    write
};

/** @brief Action requested by a `lease_state_machine`. */
struct lease_action {
    lease_step step{lease_step::wait};
    std::string key;
    nlohmann::json value;      /**< For `write`. */
    std::uint64_t expected{0}; /**< For `write`. */
    base::instant until{};     /**< For `wait`: call `next` again then. */
};

/**
 * @brief Acquires and renews one lease without doing I/O: it returns actions and is told their outcomes. Used by one
 * thread; `authority_check` objects may be used by others.
 *
 * The holder counts the term from before it sent the acquisition or renewal. A successor waits for the term, the margin
 * and the send time-out, counted from when it first read the present version of the lease object. Clocks of different
 * hosts are therefore never compared.
 */
class lease_state_machine {
public:
    lease_state_machine(const base::clock &clock, lease_settings settings);

    /** @return The next action. After `read` and `write` the outcome must be reported before the next call. */
    [[nodiscard]] lease_action next();

    /**
     * @brief Outcome of a `read`.
     * @param history Of the store, see `store::object_store::history`. In a new one, the lease may have a holder of
     * whom the store knows nothing any more.
     */
    void on_read(const base::result<std::optional<store::object>> &found, std::uint64_t history = 0);

    /** @brief Outcome of a `write` (`store::settled_write`). */
    void on_written(const base::result<std::uint64_t> &written);

    /**
     * @brief Ends the authority at once. `next` then returns writes of the release until one succeeds, and waits
     * without limit after that.
     */
    void release();

    /** @return True while the store may contain a record of this process, valid or expired. */
    [[nodiscard]] bool owns_record() const noexcept { return phase_ == phase::holding || phase_ == phase::releasing; }

    /** @return True while the lease may be relied upon. */
    [[nodiscard]] bool held() const noexcept;

    /** @return A check bound to the current fence, or nothing when the lease is not held. */
    [[nodiscard]] std::optional<authority_check> authority() const;

    /** @return The last record read or written, of any holder. */
    [[nodiscard]] const std::optional<lease_record> &observed() const noexcept { return observed_; }

private:
    enum class phase {
        candidate,
        holding,
        releasing,
        stopped
    };

    [[nodiscard]] lease_action write_record(lease_record record);
    [[nodiscard]] lease_action next_as_candidate(base::instant now);
    [[nodiscard]] lease_action next_as_holder(base::instant now);
    [[nodiscard]] base::duration takeover_delay() const;
    [[nodiscard]] base::duration full_term() const;
    [[nodiscard]] base::instant takeover_at() const;
    void mark_lost() noexcept;

    const base::clock &clock_;
    lease_settings settings_;
    std::shared_ptr<internal::authority_state> authority_;
    phase phase_{phase::candidate};
    bool read_needed_{true};
    std::uint64_t version_{store::absent};
    std::optional<lease_record> observed_;
    base::instant first_seen_{};
    std::uint64_t history_{0};
    base::instant unknown_holder_until_{}; /**< Until then a holder may act whose record the store has lost. */
    base::instant read_due_{};
    lease_record own_;
    base::instant sent_at_{};
    base::instant renew_due_{};
    base::instant retry_due_{};
};

/**
 * @brief Performs the next action against the store; blocks for the store call only.
 * @return The action performed. After `wait` the caller waits until `until`.
 */
lease_action drive_lease(lease_state_machine &lease_state, store::object_store &store, base::id_source &ids);

} // namespace dotterelstack::lease
