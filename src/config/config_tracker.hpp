#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "config/config_log.hpp"
#include "config/config_state.hpp"

namespace dotterelstack::config {

/** @brief Read these snapshot parts and pass them to `config_tracker::on_snapshot`. */
struct fetch_snapshot {
    std::uint64_t version{0};
    std::uint64_t parts{0};
};

/** @brief A newer configuration is in force. */
struct adopted {
    state_ptr state;
    bool from_peer{false};
};

enum class offer_problem {
    stale,     /**< Older than the configuration in force; ignored. */
    diverged,  /**< Same version, other content; ignored. */
    unreadable /**< Not decoded; ignored. */
};

/** @brief An offered configuration was not adopted. */
struct offer_ignored {
    offer_problem problem{offer_problem::stale};
    std::uint64_t offered{0}; /**< Version offered, 0 if unknown. */
    std::string detail;
};

using tracker_action = std::variant<fetch_snapshot, adopted, offer_ignored>;
using tracker_actions = std::vector<tracker_action>;

/**
 * @brief Decides which configuration is in force in this process: the highest version ever offered, whatever the order
 * in which the store and peers answer. Events in, actions out; no I/O.
 */
class config_tracker {
public:
    /** @param now Clock by which the age of the configuration is measured. */
    explicit config_tracker(const base::clock &now) noexcept : clock_{now} {}

    /**
     * @brief The store answered a read of the head.
     * @param value Value of the head, or nothing if it does not exist.
     * @param started When the read was sent. The configuration is known to be current at that time.
     */
    [[nodiscard]] tracker_actions on_head(std::optional<std::string_view> value, base::instant started);

    /** @brief The store answered that the head has not changed. @param started When the call was sent. */
    void on_unchanged(base::instant started) noexcept {
        if (!pending_) {
            confirm(started);
        }
    }

    /** @brief The parts that `fetch_snapshot` asked for have arrived. */
    [[nodiscard]] tracker_actions on_snapshot(std::uint64_t version, const std::vector<std::string> &parts);

    /** @brief A part could not be read; the next head asks for a snapshot again. */
    void on_snapshot_failed() noexcept { pending_.reset(); }

    /**
     * @brief A peer answered `GET /config`.
     * @param text Body made by `answer_peer` of the peer.
     * @param started When the call was sent.
     */
    [[nodiscard]] tracker_actions on_peer(std::string_view text, base::instant started);

    /**
     * @brief Makes the response to a peer's `GET /config?since=N`.
     * @param since Version that the peer has; absent if it has none.
     * @return JSON with version, age and the changes or the snapshot that the peer lacks.
     */
    [[nodiscard]] std::string answer_peer(std::optional<std::uint64_t> since) const;

    /** @return The configuration in force, or null before the first adoption. */
    [[nodiscard]] const state_ptr &current() const noexcept { return current_; }

    /**
     * @return How old the configuration may be: time since the store, or a peer on its behalf, is known to have had no
     * newer one. Nothing if that is unknown.
     */
    [[nodiscard]] std::optional<base::duration> age() const noexcept;

private:
    struct pending_head {
        head value;
        base::instant started;
    };

    tracker_actions offer(const state_ptr &candidate, bool from_peer, std::optional<base::instant> confirmed);
    tracker_actions extend(const head &offered, base::instant started);
    void confirm(std::optional<base::instant> when) noexcept;
    void remember(const std::vector<change> &changes);

    const base::clock &clock_;
    state_ptr current_;
    std::optional<base::instant> confirmed_;
    std::optional<pending_head> pending_;
    std::deque<change> recent_; /**< Contiguous, ends at the current version; lets peers catch up. */
};

} // namespace dotterelstack::config
