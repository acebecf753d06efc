#pragma once

#include <algorithm>
#include <concepts>

namespace dotterelstack::limits {

/** @brief Result of `divide_fairly`. */
template<std::integral Amount>
struct fair_division {
    Amount level{0};       /**< Demands up to this amount are satisfied in full, larger ones up to it. */
    Amount rest{0};        /**< What the larger demands share. */
    Amount unsatisfied{0}; /**< Number of larger demands. */
};

/**
 * @brief Max-min fair division (water filling): the level rises until it no longer satisfies further demands in full.
 * @param available Amount to be divided.
 * @param for_each_demand Calls its argument with each demand.
 */
template<std::integral Amount, typename ForEach>
[[nodiscard]] fair_division<Amount> divide_fairly(Amount available, ForEach for_each_demand) {
    fair_division<Amount> out;
    for (bool rises = true; rises;) {
        out.rest = available;
        out.unsatisfied = 0;
        for_each_demand([&out](Amount demand) {
            if (demand <= out.level) {
                out.rest -= demand;
            } else {
                ++out.unsatisfied;
            }
        });
        const auto next = out.unsatisfied == 0 ? out.level : out.rest / out.unsatisfied;
        rises = next > out.level;
        out.level = std::max(out.level, next);
    }
    return out;
}

} // namespace dotterelstack::limits
