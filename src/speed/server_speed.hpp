#pragma once

#include <optional>

#include "base/clock.hpp"

namespace dotterelstack::speed {

/** @brief Parameters of the speed estimate of a server. */
struct speed_settings {
    /** Neutral samples that each estimate starts with, so that few measurements do not make a server fast or slow. */
    double prior_samples{4};
    base::duration steady_half_life{std::chrono::seconds{30}}; /**< Of measured times, by age. */
    base::duration shared_half_life{std::chrono::seconds{30}}; /**< Of what other gateways have told, by age. */
    double shared_share{0.5}; /**< Weight of a sample of another gateway, relative to an own one. */
    /** Time within which a reported factor returns halfway to its mean: it changes many times a second. */
    base::duration report_half_life{std::chrono::milliseconds{150}};
    base::duration latest_half_life{std::chrono::seconds{4}}; /**< Of the slowness that the latest times show. */
};

/** @brief Steady part of a server's speed with its weight, as gateways tell it each other. */
struct speed_note {
    double log_time{0}; /**< Logarithm of the time of work relative to other servers of the service. */
    double samples{0};  /**< Measurements that it rests on. */
};

/**
 * @brief Estimates how long work takes at one incarnation of a server, relative to the usual time. Not thread-safe.
 *
 * The steady part is the mean logarithm of measured over usual times, each divided by the factor that the server
 * reported at that time, so that work of others on the same host does not count as a property of the server. It counts
 * only once it differs clearly from the others. The momentary part follows the reported factor, which returns to its
 * mean as the report ages, and the slowness that the latest times show beyond both.
 */
class server_speed {
public:
    /** @param time Clock; must outlive this object. */
    explicit server_speed(const base::clock &time, speed_settings settings = {});

    /** @brief The server has stated how long work takes there at this moment. @param factor 1 is usual; above 0. */
    void reported(double factor) noexcept;

    /** @brief Work has just ended. @param ratio Its time over the usual time of such work at servers of the service. */
    void measured(double ratio) noexcept;

    /** @brief Replaces what other gateways have told; their samples count less than own ones, and fade. */
    void shared(const speed_note &others) noexcept;

    /**
     * @brief Decides whether the steady part differs clearly from the others. Call it about once a second.
     * @param mean_log Mean of `steady().log_time` over the servers of the service.
     */
    void settle(double mean_log) noexcept;

    /** @return Own measurements only, to be told to other gateways. */
    [[nodiscard]] speed_note own() const noexcept;

    /** @return Own measurements and those of other gateways, drawn towards neutral while there are few. */
    [[nodiscard]] speed_note steady() const noexcept;

    /** @return Standard error of `steady().log_time`. */
    [[nodiscard]] double steady_error() const noexcept;

    /**
     * @return True if the server reports how long work takes there, here or to other gateways. Others count as alike,
     * apart from the latest slowness: without the factor, noise of the times cannot be told from the speed.
     */
    [[nodiscard]] bool shares_host() const noexcept { return reported_at_.has_value() || others_.samples > 0; }

    /** @return Expected factor of the time of work now, by the server's reports; 1 without any. */
    [[nodiscard]] double reported_factor() const noexcept;

    /** @return Standard deviation of the logarithm of the factor now: none at a fresh report, its usual spread later.
     */
    [[nodiscard]] double factor_spread() const noexcept;

    /** @return Time of work now relative to the usual one: steady part, reported factor and latest slowness. */
    [[nodiscard]] double time_factor() const noexcept;

private:
    [[nodiscard]] double kept(base::instant since, base::duration half_life) const noexcept;
    [[nodiscard]] double latest() const noexcept;

    const base::clock *time_; // A pointer, so that estimates can be replaced.
    speed_settings settings_;
    double sum_{0}; /**< Of logarithms of ratios, their squares, and their number, with decay by age. */
    double squares_{0};
    double samples_{0};
    base::instant measured_at_{};
    speed_note others_;
    base::instant shared_at_{};
    double counted_{0};     /**< Logarithm of the steady part that counts; 0 unless it differs clearly. */
    double factor_mean_{0}; /**< Of logarithms of reported factors, and their variance. */
    double factor_variance_{0};
    double factor_{0}; /**< Logarithm of the last one. */
    unsigned int reports_{0};
    std::optional<base::instant> reported_at_;
    double log_slowness_{0}; /**< Of the latest times beyond steady part and report; returns to 0. */
};

} // namespace dotterelstack::speed
