#include "retry/retry_budget.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"

namespace dotterelstack::retry {

namespace {

/** @brief Rounding error allowed when a balance is compared with one whole retry. */
constexpr double tolerance = 1e-9;

} // namespace

retry_budget::retry_budget(const base::clock &clock, budget_options options) : clock_{clock}, options_{options} {}

retry_budget::account &retry_budget::updated_account(accounts &from, std::string_view name) {
    const auto now = clock_.now();
    const double capacity = options_.minimum_per_second > 0 ? std::max(1.0, options_.burst) : 0.0;
    auto it = from.find(name);
    if (it == from.end()) {
        it = from.emplace(name, account{0, capacity, now}).first;
    }
    auto &out = it->second;
    const double elapsed = base::to_seconds(now - out.updated);
    out.earned *= std::exp(-elapsed / base::to_seconds(options_.window));
    out.minimum = std::min(capacity, out.minimum + elapsed * options_.minimum_per_second);
    out.updated = now;
    return out;
}

bool retry_budget::has_retry(const account &it) noexcept {
    return it.earned >= 1.0 - tolerance || it.minimum >= 1.0 - tolerance;
}

void retry_budget::withdraw(account &it) noexcept {
    (it.earned >= 1.0 - tolerance ? it.earned : it.minimum) -= 1.0;
}

void retry_budget::record_request(std::string_view organisation, std::string_view service) {
    updated_account(organisations_, organisation).earned += options_.ratio;
    updated_account(services_, service).earned += options_.ratio;
}

budget_verdict retry_budget::try_acquire(std::string_view organisation, std::string_view service) {
    auto &by_organisation = updated_account(organisations_, organisation);
    auto &by_service = updated_account(services_, service);
    if (!has_retry(by_organisation)) {
        return budget_verdict::organisation_exhausted;
    }
    if (!has_retry(by_service)) {
        return budget_verdict::service_exhausted;
    }
    withdraw(by_organisation);
    withdraw(by_service);
    return budget_verdict::granted;
}

void retry_budget::prune() {
    const auto now = clock_.now();
    const auto stale = [&](const auto &it) { return now - it.second.updated > 10 * options_.window; };
    std::erase_if(organisations_, stale);
    std::erase_if(services_, stale);
}

} // namespace dotterelstack::retry
