#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::agent {

/** @brief Whether a request may be sent to the backend server. */
enum class admit_decision {
    start,
    wrong_incarnation, /**< Addressed to another incarnation of this agent; not run by this one. */
    cancelled,         /**< The cancellation arrived before the request; not run. */
    duplicate,         /**< This attempt was received before; it may have run. */
    draining           /**< The agent is shutting down and accepts no new requests; not run. */
};

/** @brief Result of a cancellation. */
enum class cancel_outcome {
    never_starts,     /**< The request has not started, and this incarnation will never start it. */
    started,          /**< It was sent to the backend server and is running. */
    finished,         /**< Every attempt that started has ended. */
    other_incarnation /**< It was addressed to another incarnation, whose requests are unknown here. */
};

/**
 * @brief Records the requests that the agent has received, so that it starts each attempt at most once and reports
 * truthfully whether a rejected or cancelled request has run.
 */
class request_table {
public:
    /**
     * @param time Clock.
     * @param incarnation Random id that tells this run of the agent from earlier ones.
     * @param retention How long finished and cancelled requests are kept; longer than a delayed copy can take to
     * arrive.
     */
    request_table(const base::clock &time, std::string incarnation, base::duration retention);

    /** @brief Decides whether an attempt may start, and records it as running if so. */
    [[nodiscard]] admit_decision admit(std::string_view request, std::uint32_t attempt, std::string_view incarnation);

    /** @brief Records that an attempt has ended. */
    void finish(std::string_view request, std::uint32_t attempt);

    /** @brief Records a cancellation; attempts that arrive within the retention time after it are rejected. */
    [[nodiscard]] cancel_outcome cancel(std::string_view request, std::string_view incarnation);

    void set_draining(bool on) noexcept { draining_ = on; }
    [[nodiscard]] bool draining() const noexcept { return draining_; }
    [[nodiscard]] const std::string &incarnation() const noexcept { return incarnation_; }

    /** @return Number of attempts that have started and not ended. */
    [[nodiscard]] std::size_t running() const noexcept { return running_; }

    /** @return Number of requests on record. */
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        bool is_cancelled{false};
        std::map<std::uint32_t, bool> attempts; /**< Attempt, and whether it has ended. */
        base::instant touched{};
    };

    void prune();
    entry &touch(std::string_view request);

    const base::clock &clock_;
    const std::string incarnation_;
    const base::duration retention_;
    bool draining_{false};
    std::size_t running_{0};
    std::map<std::string, entry, std::less<>> entries_;
    std::deque<std::pair<base::instant, std::string>> by_age_;
};

} // namespace dotterelstack::agent
