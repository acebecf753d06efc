#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "spread/message.hpp"

namespace dotterelstack::spread {

/** @brief Action: send this poll. Report its outcome with `on_reply` or `on_failed`. */
struct start_poll {
    std::uint64_t id{0};
    std::string source;
    poll body;
};

/** @brief Action: close the stream of this poll; it missed its deadline, or its source is no longer used. */
struct abandon_poll {
    std::uint64_t id{0};
    std::string source;
};

/** @brief Action: the reply carries a newer version; pass its changes to `config_tracker`. */
struct adopt_version {
    std::uint64_t version{0};
};

/** @brief Action: add these hashes to the withdrawal log. */
struct withdraw_keys {
    std::vector<std::string> keys;
};

using poller_action = std::variant<start_poll, abandon_poll, adopt_version, withdraw_keys>;
using poller_actions = std::vector<poller_action>;

struct poller_options {
    /** Number of sources polled concurrently. The first sends changes, the others only version numbers. */
    std::size_t sources{2};
    /** Wait of a long poll. Bounds the detection of a silent source; two such hops and two failovers take under 6 s. */
    base::duration wait{std::chrono::seconds{2}};
    /** Time allowed for the reply in addition to the wait. */
    base::duration slack{std::chrono::milliseconds{500}};
    /** Time for the first source to deliver a version announced by another source, before it is fetched from there. */
    base::duration grace{std::chrono::milliseconds{100}};
    /** Time for which a failed source is avoided while others are available. */
    base::duration penalty{std::chrono::seconds{30}};
    /** A source that reports a greater age is replaced. Relays renew their watch every second and entries poll every
     * 2 s, so ages of up to 4 s are normal. */
    base::duration stale_after{std::chrono::seconds{5}};
    /** Delay after all sources have failed in turn; half of it is random jitter. */
    base::duration retry{std::chrono::milliseconds{500}};
};

/**
 * @brief Client side of long polling: receives configuration versions and key withdrawals from a few other processes.
 * The version never decreases, whatever the replies contain. Not thread-safe.
 */
class poller {
public:
    /** @brief Source of random 64-bit numbers. */
    using random_source = std::function<std::uint64_t()>;

    poller(const base::clock &time, random_source random, poller_options options = {});

    /** @param sources Addresses in order of preference, see `order_sources`. Polls to other addresses are abandoned. */
    [[nodiscard]] poller_actions set_sources(std::vector<std::string> sources);

    [[nodiscard]] poller_actions on_reply(std::uint64_t id, const reply &body);

    /** @brief The poll was interrupted or rejected. */
    [[nodiscard]] poller_actions on_failed(std::uint64_t id);

    /** @brief A version was received by other means, for example from the store. */
    void on_version(std::uint64_t version) noexcept { version_ = std::max(version_, version); }

    /** @brief The changes could not be applied: the next full poll requests the snapshot. */
    void request_snapshot() noexcept { snapshot_wanted_ = true; }

    /** @brief Call at `next_wakeup()`. */
    [[nodiscard]] poller_actions on_time();

    [[nodiscard]] std::optional<base::instant> next_wakeup() const noexcept;
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /** @return Latest time at which `version()` was known to be the newest version. */
    [[nodiscard]] base::instant confirmed() const noexcept { return confirmed_; }

private:
    struct slot {
        std::string source;
        std::uint64_t id{0}; /**< Of the poll in flight, 0 if none. */
        bool full{false};
        std::uint64_t announced{0}; /**< Highest version announced by this source. */
        base::instant started{};
        base::instant due{}; /**< Deadline of the poll in flight, or start time of the next one. */
    };

    [[nodiscard]] slot *find(std::uint64_t id) noexcept;
    [[nodiscard]] std::string choose(const slot &self) const;
    void start(std::size_t index, poller_actions &out);
    void fail(std::size_t index, poller_actions &out);

    const base::clock &clock_;
    random_source random_;
    poller_options options_;
    std::vector<std::string> sources_;
    std::vector<slot> slots_;
    std::map<std::string, base::instant> failed_;
    std::map<std::string, cursor> cursors_;
    std::uint64_t version_{0};
    base::instant confirmed_{};
    std::uint64_t last_id_{0};
    std::size_t failures_{0}; /**< Consecutive failures since the last good reply. */
    bool snapshot_wanted_{false};
};

} // namespace dotterelstack::spread
