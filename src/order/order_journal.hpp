#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "lease/authority_check.hpp"
#include "order/order.hpp"
#include "order/order_sender.hpp"

namespace dotterelstack::order {

/** @brief Settings of an `order_journal`. */
struct journal_settings {
    base::duration poll_every{std::chrono::milliseconds{500}};  /**< Interval of queries for an accepted order. */
    base::duration retry_after{std::chrono::milliseconds{500}}; /**< Pause after a failed call. */
};

/** @brief What the caller must do next. */
enum class journal_step {
    idle,
    wait,
    read,
    write,
    send
};

/** @brief Action requested by an `order_journal`. */
struct journal_action {
    journal_step step{journal_step::idle};
    nlohmann::json value{};    /**< For `write`. */
    std::uint64_t expected{0}; /**< For `write`. */
    order item{};              /**< For `send`. */
    std::uint64_t fence{0};    /**< For `send`. */
    base::instant until{};     /**< For `wait`. */
};

/** @brief Result of an order that this journal began or took over. */
struct order_result {
    enum class ending {
        done,
        failed,
        dropped
    };
    order item;
    ending how{ending::dropped}; /**< `dropped`: not processed here; the lease holder completes a stored intent. */
};

/**
 * @brief Planner side of the order journal of one backend server. It does no I/O: it returns actions and is told their
 * outcomes.
 *
 * Before an order is sent, its intent is stored by a conditional update, and only while no other order is open. An open
 * order of an earlier planner is taken over under the new fence and completed with its own id. When a response is lost,
 * the same order is sent again and the receiver reports its state; no other order is sent until then. Planned and
 * automatic changes use the same journal. Used by one thread.
 */
class order_journal {
public:
    /** @param key Store key (`journal_key`). */
    order_journal(const base::clock &clock, std::string key, journal_settings settings = {});

    /** @brief Queues an order. @return `conflict` when another order is queued or open. */
    [[nodiscard]] base::result<void> begin(order item);

    /** @param fence Fence of the planner lease, or nothing when the lease is not held. */
    void set_fence(std::optional<std::uint64_t> fence);

    /** @return The next action; its outcome must be reported before the next call. */
    [[nodiscard]] journal_action next();

    void on_read(const base::result<std::optional<store::object>> &found);
    void on_written(const base::result<std::uint64_t> &written);
    void on_sent(const base::result<order_progress> &progress);

    /** @return Orders that ended since the last call. */
    [[nodiscard]] std::vector<order_result> take_results();

    /** @return The entry last read or written. */
    [[nodiscard]] const std::optional<journal_entry> &entry() const noexcept { return entry_; }
    [[nodiscard]] const std::string &key() const noexcept { return key_; }

private:
    [[nodiscard]] bool open() const noexcept { return entry_ && entry_->state != entry_state::settled; }
    [[nodiscard]] journal_action write(journal_entry entry);
    [[nodiscard]] journal_action next_for_open(base::instant now);
    void resolve_queued();
    void report_settled();

    const base::clock &clock_;
    std::string key_;
    journal_settings settings_;
    std::optional<std::uint64_t> fence_;
    std::optional<order> queued_;
    std::optional<journal_entry> entry_;
    std::optional<journal_entry> writing_; /**< Content of the write in progress. */
    std::optional<journal_entry> unsaved_; /**< Reported progress that is not stored yet. */
    std::uint64_t version_{store::absent};
    bool read_needed_{true};
    base::instant next_attempt_{};
    std::vector<order_result> results_;
};

/**
 * @brief Performs the next action of a journal. Blocks.
 * @param authority Check of the planner lease, or nothing when it is not held: nothing is written or sent then.
 * @return The action performed.
 */
journal_action drive_journal(order_journal &journal, store::object_store &store, base::id_source &ids,
                             order_sender &sender, const std::optional<lease::authority_check> &authority);

} // namespace dotterelstack::order
