#include "admission/urgent_reserve.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::admission {

namespace internal {

// Time constant of the demand: a flood must show within a fraction of a second, and single requests must not.
constexpr double demand_window_s = 2;
// Part of the recent arrivals from which more urgent work keeps room for itself.
constexpr double considerable_part = 0.2;
// Part of the requests of an urgency that is exempt: its callers need some service also while others are ahead.
constexpr double floor_part = 0.5;

} // namespace internal

double urgent_reserve::kept(const demand &it) const {
    return std::exp(-base::to_seconds(time_.now() - it.decayed_at) / internal::demand_window_s);
}

urgent_reserve::demand &urgent_reserve::refreshed(std::string_view service, unsigned int urgency) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string{service}, demands{}).first;
    }
    auto &it = found->second.try_emplace(urgency, demand{.decayed_at = time_.now()}).first->second;
    const double left = kept(it);
    it.asked *= left;
    it.placed *= left;
    it.decayed_at = time_.now();
    return it;
}

void urgent_reserve::ask(std::string_view service, unsigned int urgency, base::duration objective) {
    auto &it = refreshed(service, urgency);
    it.asked += 1;
    if (objective > base::duration{0}) {
        // The shortest objective of the urgency, unless the demand for it is over.
        it.objective = it.objective > base::duration{0} && it.asked > 2 ? std::min(it.objective, objective) : objective;
    }
}

void urgent_reserve::place(std::string_view service, unsigned int urgency) {
    refreshed(service, urgency).placed += 1;
}

std::optional<urgent_work> urgent_reserve::above(std::string_view service, unsigned int urgency) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return std::nullopt;
    }
    double all = 0;
    double above = 0;
    std::optional<urgent_work> out;
    for (const auto &[its, it] : found->second) {
        const double asked = it.asked * kept(it);
        all += asked;
        if (its < urgency) {
            above += asked;
            if (it.objective > base::duration{0} && (!out || it.objective < out->objective)) {
                out = urgent_work{its, it.objective};
            }
        } else if (its == urgency && it.placed < internal::floor_part * it.asked) {
            return std::nullopt;
        }
    }
    return above >= internal::considerable_part * all ? out : std::nullopt;
}

} // namespace dotterelstack::admission
