#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::agent {

/** @brief Whether a request may be handed to the backend server. */
enum class admit_decision {
    start,
    wrong_incarnation, /**< Addressed to an earlier incarnation of this agent; not run by this one. */
    cancelled,         /**< A cancel arrived first; not run. */
    duplicate,         /**< This attempt was seen before; it may have run. */
    draining           /**< The agent takes no new work; not run. */
};

/** @brief Answer to a cancel. */
enum class cancel_outcome {
    never_starts,     /**< The request has not started and never will at this incarnation. */
    started,          /**< It was handed over and is running. */
    finished,         /**< It ran to its end. */
    other_incarnation /**< It was addressed to another incarnation, of which nothing is known. */
};

/** @brief The agent's memory of requests, which makes its refusals and cancel answers true. */
class request_table {
public:
    /**
     * @param time Clock.
     * @param incarnation Random id of this start of the agent.
     * @param retention How long finished and cancelled requests are remembered; longer than a copy can be under way.
     */
    request_table(const base::clock &time, std::string incarnation, base::duration retention);

    /** @brief Decides about a request that has arrived and notes that it starts. */
    [[nodiscard]] admit_decision admit(std::string_view request, std::uint32_t attempt, std::string_view incarnation);

    /** @brief Notes that a request has ended. */
    void finish(std::string_view request, std::uint32_t attempt);

    /** @brief Decides about a cancel; a request not seen yet is barred for the retention time. */
    [[nodiscard]] cancel_outcome cancel(std::string_view request, std::string_view incarnation);

    void set_draining(bool on) noexcept { draining_ = on; }
    [[nodiscard]] bool draining() const noexcept { return draining_; }
    [[nodiscard]] const std::string &incarnation() const noexcept { return incarnation_; }

    /** @return Number of requests that have started and not ended. */
    [[nodiscard]] std::size_t running() const noexcept { return running_; }

    /** @return Number of remembered requests. */
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        bool barred{false};
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
