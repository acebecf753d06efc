#include "retry/retry_window.hpp"

namespace dotterelstack::retry {

namespace internal {

// Share of the limit that is used; the rest allows for windows that do not start together.
constexpr double usable_share = 0.9;

void remove_before(std::deque<base::instant> &from, base::instant first) {
    while (!from.empty() && from.front() < first) {
        from.pop_front();
    }
}

} // namespace internal

retry_window::retry_window(const base::clock &time, retry_window_settings settings)
    : time_{time}, settings_{settings} {}

retry_window::account &retry_window::updated_account(std::string_view service) {
    auto it = accounts_.find(service);
    if (it == accounts_.end()) {
        it = accounts_.emplace(std::string{service}, account{}).first;
    }
    const auto first = time_.now() - settings_.window;
    internal::remove_before(it->second.requests, first);
    internal::remove_before(it->second.retries, first);
    return it->second;
}

std::int64_t retry_window::remaining(const account &it) const noexcept {
    const double earned = settings_.ratio * static_cast<double>(it.requests.size());
    const double shared = settings_.allowance / static_cast<double>(gateways_);
    return static_cast<std::int64_t>(internal::usable_share * (earned + shared)) -
           static_cast<std::int64_t>(it.retries.size());
}

void retry_window::record_request(std::string_view /*organisation*/, std::string_view service) {
    updated_account(service).requests.push_back(time_.now());
}

budget_verdict retry_window::try_acquire(std::string_view /*organisation*/, std::string_view service) {
    auto &it = updated_account(service);
    if (remaining(it) < 1) {
        return budget_verdict::service_exhausted;
    }
    it.retries.push_back(time_.now());
    return budget_verdict::granted;
}

std::int64_t retry_window::available(std::string_view service) {
    return remaining(updated_account(service));
}

} // namespace dotterelstack::retry
