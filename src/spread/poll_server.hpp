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

/** @brief Action: send this reply. */
struct send_reply {
    std::uint64_t poll{0}; /**< Number given to `on_poll`. */
    bool full{false};      /**< Add the changes after `since`, or the snapshot. */
    std::uint64_t since{0};
    reply body;
};

/** @brief Holds the polls of other processes until there is something new for them. Not thread-safe. */
class poll_server {
public:
    /** Further polls that are not full are sent elsewhere: an entry serves 47 polls on average at the design scale, and
     * rendezvous hashing alone gives some of them half as many again. */
    static constexpr std::size_t version_poll_limit = 56;
    /** Further full polls are sent elsewhere, too. Leaves room for the agents of several failed entries. */
    static constexpr std::size_t full_poll_limit = 256;
    /** @brief Longest wait granted. */
    static constexpr base::duration max_wait = std::chrono::seconds{10};

    /** @param time Clock. @param withdrawals Log of this process. Both must outlive this object. */
    poll_server(const base::clock &time, const withdrawal_log &withdrawals) noexcept
        : clock_{time}, withdrawals_{withdrawals} {}

    /** @param number Unique among the polls that wait. A full table answers `busy` at once. */
    [[nodiscard]] std::vector<send_reply> on_poll(std::uint64_t number, const poll &asked);

    /** @brief The caller of a poll has gone. */
    void on_poll_closed(std::uint64_t number);

    /**
     * @brief The configuration in force was confirmed or replaced.
     * @param version Version; an older one than before is ignored.
     * @param confirmed Since when no newer version is known to have existed.
     */
    [[nodiscard]] std::vector<send_reply> on_version(std::uint64_t version, base::instant confirmed);

    /** @brief The log has grown. */
    [[nodiscard]] std::vector<send_reply> on_withdrawals() { return answer_ready(); }

    /** @return Replies to polls whose wait has passed. */
    [[nodiscard]] std::vector<send_reply> on_time();

    [[nodiscard]] std::optional<base::instant> next_wakeup() const;
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct held {
        poll asked;
        base::instant since;
        base::instant until;
    };

    [[nodiscard]] bool has_update(const poll &asked) const noexcept;
    [[nodiscard]] send_reply make(std::uint64_t number, const poll &asked, base::instant since) const;
    [[nodiscard]] std::vector<send_reply> answer_ready();

    const base::clock &clock_;
    const withdrawal_log &withdrawals_;
    std::uint64_t version_{0};
    base::instant confirmed_{};
    std::map<std::uint64_t, held> waiting_;
};

} // namespace dotterelstack::spread
