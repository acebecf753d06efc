#include "retry/retry_window.hpp"

namespace dotterelstack::retry {

namespace internal {

// Part of the limit that is used.
constexpr double used_part = 0.9;

void drop_before(std::deque<base::instant> &from, base::instant first) {
    while (!from.empty() && from.front() < first) {
        from.pop_front();
    }
}

} // namespace internal

retry_window::retry_window(const base::clock &time, retry_window_settings settings)
    : time_{time}, settings_{settings} {}

retry_window::account &retry_window::refreshed(std::string_view service) {
    auto it = accounts_.find(service);
    if (it == accounts_.end()) {
        it = accounts_.emplace(std::string{service}, account{}).first;
    }
    const auto first = time_.now() - settings_.window;
    internal::drop_before(it->second.requests, first);
    internal::drop_before(it->second.retries, first);
    return it->second;
}

std::int64_t retry_window::room(const account &it) const noexcept {
    const double earned = settings_.ratio * static_cast<double>(it.requests.size());
    const double shared = static_cast<double>(settings_.allowance) / static_cast<double>(gateways_);
    return static_cast<std::int64_t>(internal::used_part * (earned + shared)) -
           static_cast<std::int64_t>(it.retries.size());
}

void retry_window::record_request(std::string_view /*organisation*/, std::string_view service) {
    refreshed(service).requests.push_back(time_.now());
}

budget_verdict retry_window::try_acquire(std::string_view /*organisation*/, std::string_view service) {
    auto &it = refreshed(service);
    if (room(it) < 1) {
        return budget_verdict::service_exhausted;
    }
    it.retries.push_back(time_.now());
    return budget_verdict::granted;
}

std::int64_t retry_window::available(std::string_view service) {
    return room(refreshed(service));
}

} // namespace dotterelstack::retry
