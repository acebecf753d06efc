#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.hpp"

namespace dotterelstack::pace {

/** @brief Parameters of the pace at which a server gets its first requests. */
struct pace_settings {
    /** Time between two groups of gateways that begin to send: a few answers of a usual server. */
    base::duration step{std::chrono::milliseconds{200}};
    /** An answer is slow if it takes this many times as long, relative to its estimate, as the best one so far. */
    double slow_factor{2};
    /** The first answer has nothing to be compared with; beyond this many times its estimate it is slow. */
    double slow_first_factor{4};
    base::duration longest_rest{std::chrono::seconds{2}}; /**< Rests after setbacks double up to this. */
    /** Without a setback for this long the pacing ends: by then reports of the server's load have reached everyone. */
    base::duration calm{std::chrono::seconds{5}};
};

/** @brief What one gateway may send to a server before it has had any answer from it. */
struct first_step {
    std::uint32_t requests{1}; /**< In progress at once. */
    std::uint32_t group{0};    /**< Groups of gateways begin one step after another. */
};

/**
 * @brief Divides the first requests among the gateways that discover a server in the same instant.
 *
 * The first group has as many gateways as the server has slots, and each further group twice as many as the one before.
 * @param slots Requests that the server runs at once.
 * @param gateways Number of gateways, this one included.
 * @param position Of this gateway in the order for the server, from 0.
 */
[[nodiscard]] first_step first_step_of(std::uint32_t slots, std::uint32_t gateways, std::uint32_t position) noexcept;

/**
 * @brief Limit on the requests that one gateway has in progress at a server that has just started or recovered. Not
 * thread-safe.
 *
 * Each answer that is about as fast as the best one so far raises the limit by one, which doubles it in about the time
 * of an answer. A refusal, a failure or a slow answer halves it; from then on it rises by one in a round of answers. At
 * a limit of one a setback stops the requests for a time that doubles.
 */
class server_pace {
public:
    /**
     * @param now When the server was discovered, or has answered again.
     * @param slots Requests that the server runs at once; at a limit as high as this the pacing ends.
     */
    server_pace(const pace_settings &settings, base::instant now, std::uint32_t slots, first_step first) noexcept;

    /** @return Requests that may be in progress now; 0 before the first step and while resting. */
    [[nodiscard]] std::uint32_t limit(base::instant now) const noexcept;

    /** @return When requests may be sent if none may be now; the past otherwise. */
    [[nodiscard]] base::instant opens_at() const noexcept { return opens_at_; }

    /** @return True once the limit has no effect any more. */
    [[nodiscard]] bool over(base::instant now) const noexcept;

    /**
     * @brief An answer has begun.
     * @param ratio Its time relative to the estimate for it.
     * @param sent When the request was sent.
     */
    void on_time(base::instant now, double ratio, base::instant sent) noexcept;

    /** @brief An answer has ended well. */
    void on_answer() noexcept;

    /** @brief The server has refused or failed a request. @param sent When the request was sent. */
    void on_setback(base::instant now, base::instant sent) noexcept;

private:
    pace_settings settings_;
    std::uint32_t slots_;
    double limit_;
    base::instant opens_at_;
    base::instant calm_since_;           /**< The last setback, or the first step. */
    std::optional<double> best_ratio_{}; /**< Of the answers so far. */
    base::duration rest_{0};             /**< The latest one. */
    bool had_setback_{false};
};

} // namespace dotterelstack::pace
