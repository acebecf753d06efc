#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.hpp"
#include "spread/message.hpp"
#include "spread/withdrawal_log.hpp"

namespace dotterelstack::spread {

/** @brief Action: send this reply to a poll. */
struct send_reply {
    std::uint64_t poll{0}; /**< Number given to `on_poll`. */
    bool full{false};      /**< Include the changes after `since`, or the snapshot. */
    std::uint64_t since{0};
    reply body;
};

/** @brief Server side of long polling: holds polls until there is an update for them. Not thread-safe. */
class poll_server {
public:
    /** Number of held polls from which version-only polls are answered `busy`. At the design scale an entry serves 47
     * polls on average, and rendezvous hashing alone gives some entries 50 % more. */
    static constexpr std::size_t version_poll_limit = 56;
    /** Number of held polls from which full polls are answered `busy`, too. Leaves capacity for the agents of several
     * failed entries. */
    static constexpr std::size_t full_poll_limit = 256;
    /** @brief Upper bound of the wait; longer ones are shortened. */
    static constexpr base::duration max_wait = std::chrono::seconds{10};

    /** @param time Clock. @param withdrawals Withdrawal log of this process. Both must outlive this object. */
    poll_server(const base::clock &time, const withdrawal_log &withdrawals) noexcept
        : clock_{time}, withdrawals_{withdrawals} {}

    /** @param number Unique among the held polls. @return The reply, if it is due at once; `busy` above the limit. */
    [[nodiscard]] std::vector<send_reply> on_poll(std::uint64_t number, const poll &request);

    /** @brief The caller closed its poll; drops it without a reply. */
    void on_poll_closed(std::uint64_t number);

    /**
     * @brief The active configuration was confirmed or replaced.
     * @param version Active version; ignored if it is older than the current one.
     * @param confirmed Latest time at which that version was known to be the newest.
     * @return Replies to polls that the new version completes.
     */
    [[nodiscard]] std::vector<send_reply> on_version(std::uint64_t version, base::instant confirmed);

    /** @brief Keys were added to the withdrawal log. @return Replies to the polls that they complete. */
    [[nodiscard]] std::vector<send_reply> on_withdrawals() { return answer_ready(); }

    /** @brief Call at `next_wakeup()`. @return Replies to polls whose wait has passed. */
    [[nodiscard]] std::vector<send_reply> on_time();

    [[nodiscard]] std::optional<base::instant> next_wakeup() const;
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct held {
        poll request;
        base::instant since;
        base::instant until;
    };

    [[nodiscard]] bool has_update(const poll &request) const noexcept;
    [[nodiscard]] send_reply make_reply(std::uint64_t number, const poll &request, base::instant since) const;
    [[nodiscard]] std::vector<send_reply> answer_ready();

    const base::clock &clock_;
    const withdrawal_log &withdrawals_;
    std::uint64_t version_{0};
    base::instant confirmed_{};
    std::map<std::uint64_t, held> waiting_;
};

} // namespace dotterelstack::spread
