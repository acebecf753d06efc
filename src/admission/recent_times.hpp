#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::admission {

/** @brief Requests of a service with the same urgency; 0 is the most urgent. */
struct work_class {
    std::string_view service;
    unsigned int urgency{0};
};

/**
 * @brief How long the answers of each class of work have recently taken. Not thread-safe.
 *
 * An estimate rests on reports that are old or missing, and knows nothing of what other gateways send meanwhile. What
 * it misses shows in the times of the answers. Without new answers, estimates hold again.
 */
class recent_times {
public:
    /** @param time Clock; must outlive this object. */
    explicit recent_times(const base::clock &time) : time_{time} {}

    /** @brief An answer, or the first event of a stream, has arrived. @param taken Since the request was placed. */
    void record(work_class of, base::duration taken);

    /** @return The estimate for a request of usual size, or a longer time if recent answers of the class show it. */
    [[nodiscard]] base::duration corrected(work_class of, base::duration estimate) const;

private:
    struct mean {
        double weight{0};  /**< Of the samples, with exponential decay. */
        double taken_s{0}; /**< Weighted sum of the times in seconds. */
        base::instant decayed_at{};
    };

    [[nodiscard]] double kept(const mean &it) const;

    const base::clock &time_;
    std::map<std::string, std::map<unsigned int, mean>, std::less<>> services_;
};

} // namespace dotterelstack::admission
