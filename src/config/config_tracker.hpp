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

/** @brief Requests the caller to read these snapshot parts and pass them to `config_tracker::on_snapshot`. */
struct fetch_snapshot {
    std::uint64_t version{0};
    std::uint64_t parts{0};
};

/** @brief A newer configuration is now in use. */
struct adopted {
    state_ptr state;
    bool from_peer{false};
};

enum class offer_problem {
    stale,     /**< Older than the current configuration. */
    diverged,  /**< Same version, but other content. */
    unreadable /**< Cannot be decoded. */
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
 * @brief Selects the configuration that this process uses: the highest version received from the store or a peer,
 * whatever the order of their answers. A state machine that takes events and returns actions; performs no I/O.
 */
class config_tracker {
public:
    /** @param now Clock with which the age of the configuration is measured. */
    explicit config_tracker(const base::clock &now) noexcept : clock_{now} {}

    /**
     * @brief The store answered a read of the head.
     * @param value Value of the head, or nothing if it does not exist.
     * @param started When the read was sent; the head is taken to be current at that time.
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

    /** @brief A part could not be read; the next head requests a snapshot again. */
    void on_snapshot_failed() noexcept { pending_.reset(); }

    /**
     * @brief A peer answered `GET /config`.
     * @param text Body that the peer's `answer_peer` returned.
     * @param started When the call was sent.
     */
    [[nodiscard]] tracker_actions on_peer(std::string_view text, base::instant started);

    /**
     * @brief Builds the response to a peer's `GET /config?since=N`.
     * @param since Version that the peer has; absent if it has none.
     * @return JSON with version, age, and either the changes since that version or a snapshot.
     */
    [[nodiscard]] std::string answer_peer(std::optional<std::uint64_t> since) const;

    /** @return The current configuration, or null before the first one was adopted. */
    [[nodiscard]] const state_ptr &current() const noexcept { return current_; }

    /**
     * @return Upper bound for the staleness of the configuration: time since the store, directly or through a peer,
     * last confirmed that it was current. Nothing if it was never confirmed.
     */
    [[nodiscard]] std::optional<base::duration> age() const noexcept;

private:
    struct pending_head {
        head value;
        base::instant started;
    };

    tracker_actions offer(const state_ptr &candidate, bool from_peer, std::optional<base::instant> confirmed);
    tracker_actions apply_head(const head &offered, base::instant started);
    void confirm(std::optional<base::instant> when) noexcept;
    void keep_recent(const std::vector<change> &changes);

    const base::clock &clock_;
    state_ptr current_;
    std::optional<base::instant> confirmed_;
    std::optional<pending_head> pending_;
    std::deque<change> recent_; /**< Contiguous, ends at the current version; sent to peers that are behind. */
};

} // namespace dotterelstack::config
