#include "gateway/admission_trials.hpp"

#include <algorithm>

namespace dotterelstack::gateway {

namespace internal {

// Beyond this many the estimate follows from the trials within a moment.
constexpr std::uint32_t most_trials = 64;
// What earlier trials have shown says nothing after this time.
constexpr auto trial_memory = std::chrono::seconds{2};

} // namespace internal

std::uint32_t admission_trials::limit_of(const trials &it) const {
    return time_.now() - it.ended_at > internal::trial_memory ? 1 : it.limit;
}

bool admission_trials::may_begin(std::string_view service) const {
    const auto it = services_.find(service);
    return it == services_.end() || it->second.running < limit_of(it->second);
}

void admission_trials::begin(std::string_view service) {
    auto it = services_.find(service);
    if (it == services_.end()) {
        it = services_.emplace(std::string{service}, trials{}).first;
    }
    ++it->second.running;
}

void admission_trials::end(std::string_view service, trial_end how, base::instant began) {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    auto &it = found->second;
    it.running -= std::min(it.running, 1U);
    const auto now = time_.now();
    if (how == trial_end::late) {
        it.limit = 1;
        it.late_at = now;
        it.ended_at = now;
    } else if (how == trial_end::in_time && began >= it.late_at) {
        it.limit = std::min(2 * limit_of(it), internal::most_trials);
        it.ended_at = now;
    }
}

} // namespace dotterelstack::gateway
