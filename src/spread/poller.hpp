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

/** @brief Action: the poll has missed its deadline; close its stream. */
struct abandon_poll {
    std::uint64_t id{0};
    std::string source;
};

/** @brief Action: the reply carries a newer version; hand its changes to `config_tracker`. */
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
    /** Sources polled at the same time. The first sends changes, the others versions only. */
    std::size_t sources{2};
    /** Bounds the time until a silent source is noticed; two such steps and two failovers stay under 6 s. */
    base::duration wait{std::chrono::seconds{2}};
    /** Longest time for a reply beyond the wait. */
    base::duration slack{std::chrono::milliseconds{500}};
    /** Time left to the first source to deliver a version that another source has announced. */
    base::duration grace{std::chrono::milliseconds{100}};
    /** A source that failed is avoided for this time while others are left. */
    base::duration penalty{std::chrono::seconds{30}};
    /** A source whose own knowledge is older is replaced. Relays repeat their watch every second and entries poll every
     * 2 s, so that up to 4 s are normal. */
    base::duration stale_after{std::chrono::seconds{5}};
    /** Pause after all sources have failed in turn; half of it is random. */
    base::duration retry{std::chrono::milliseconds{500}};
};

/**
 * @brief Follows the configuration and key withdrawals at a few other processes. Never returns to an older version,
 * whatever arrives. Not thread-safe.
 */
class poller {
public:
    /** @brief Source of random 64-bit numbers. */
    using random_source = std::function<std::uint64_t()>;

    poller(const base::clock &time, random_source random, poller_options options = {});

    /** @param sources Addresses, best first; see `order_sources`. Polls to others are abandoned. */
    [[nodiscard]] poller_actions set_sources(std::vector<std::string> sources);

    [[nodiscard]] poller_actions on_reply(std::uint64_t id, const reply &body);

    /** @brief The poll broke off or was rejected. */
    [[nodiscard]] poller_actions on_failed(std::uint64_t id);

    /** @brief A version came by another way, for example from the store. */
    void on_version(std::uint64_t version) noexcept { version_ = std::max(version_, version); }

    /** @brief The changes did not fit: the next full poll asks for the snapshot. */
    void request_snapshot() noexcept { snapshot_wanted_ = true; }

    /** @brief Call at `next_wakeup()`. */
    [[nodiscard]] poller_actions on_time();

    [[nodiscard]] std::optional<base::instant> next_wakeup() const noexcept;
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /** @return Since when no version newer than `version()` is known to have existed. */
    [[nodiscard]] base::instant confirmed() const noexcept { return confirmed_; }

private:
    struct slot {
        std::string source;
        std::uint64_t id{0}; /**< Of the poll under way, 0 if none. */
        bool full{false};
        std::uint64_t announced{0}; /**< Highest version that this source has announced. */
        base::instant started{};
        base::instant due{}; /**< Deadline of the poll under way, or start of the next one. */
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
    std::size_t failures_{0}; /**< Since the last reply. */
    bool snapshot_wanted_{false};
};

} // namespace dotterelstack::spread
