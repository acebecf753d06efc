#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "lease/authority_check.hpp"
#include "lease/lease_record.hpp"

namespace dotterelstack::lease {

/** @brief Settings of one candidate for one lease. */
struct lease_settings {
    std::string name;   /**< `planner`, `billing` or `shares`. */
    std::string holder; /**< Incarnation of this process; never reused after a restart. */
    base::duration term{std::chrono::seconds{5}};
    base::duration margin{std::chrono::milliseconds{500}}; /**< Covers clock drift and the agents' lease reads. */
    base::duration send_timeout{std::chrono::seconds{1}};  /**< Deadline of every order sent under the lease. */
    base::duration renew_every{std::chrono::milliseconds{1500}};
    base::duration standby_read_every{std::chrono::seconds{2}};
    base::duration retry_after{std::chrono::milliseconds{200}}; /**< Pause after a failed store call. */
};

/** @brief What the driver does next. */
enum class lease_step {
    wait,
    read,
    write
};

/** @brief Action of a `lease_state_machine`. */
struct lease_action {
    lease_step step{lease_step::wait};
    std::string key;
    nlohmann::json value;      /**< For `write`. */
    std::uint64_t expected{0}; /**< For `write`. */
    base::instant until{};     /**< For `wait`: call `next` again then. */
};

/**
 * @brief Acquires and keeps one lease. Used by one thread; `authority_check` objects may be used by others.
 *
 * The holder counts the term from before it sent the acquisition or renewal. A successor counts term, margin and
 * longest send from its own first sight of the lease object in its present version, so no two clocks are compared.
 */
class lease_state_machine {
public:
    lease_state_machine(const base::clock &clock, lease_settings settings);

    /** @return The next action. After `read` and `write` the outcome must be reported before the next call. */
    [[nodiscard]] lease_action next();

    /** @brief Outcome of a `read`. */
    void on_read(const base::result<std::optional<store::object>> &found);

    /** @brief Outcome of a `write` (`store::settled_write`). */
    void on_written(const base::result<std::uint64_t> &written);

    /** @brief Gives the authority up at once; `next` then writes the release, repeats it, and waits for ever after. */
    void release();

    /** @return True while a record of this process may be in the store, whether or not it is still valid. */
    [[nodiscard]] bool owns_record() const noexcept { return phase_ == phase::holding || phase_ == phase::releasing; }

    /** @return True while the lease may be relied upon. */
    [[nodiscard]] bool held() const noexcept;

    /** @return A check bound to the present fence, or nothing when the lease is not held. */
    [[nodiscard]] std::optional<authority_check> authority() const;

    /** @return Last record read, of whichever holder. */
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
    [[nodiscard]] base::duration succession_wait() const;
    void lose() noexcept;

    const base::clock &clock_;
    lease_settings settings_;
    std::shared_ptr<internal::authority_state> authority_;
    phase phase_{phase::candidate};
    bool read_needed_{true};
    std::uint64_t version_{store::absent};
    std::optional<lease_record> observed_;
    base::instant first_seen_{};
    base::instant read_due_{};
    lease_record own_;
    base::instant sent_at_{};
    base::instant renew_due_{};
    base::instant retry_due_{};
};

/**
 * @brief Performs one action of a lease_state against the store; blocks for the store call only.
 * @return The action taken; the caller waits until `until` after `wait`.
 */
lease_action drive_lease(lease_state_machine &lease_state, store::object_store &store, base::id_source &ids);

} // namespace dotterelstack::lease
