#include <algorithm>

#include "limits/admission.hpp"

namespace dotterelstack::limits {

namespace {

/** @brief Estimate of the generated tokens until a request of the row has finished. */
constexpr double initial_generated_estimate = 64.0;
/** @brief `retry_after` when no request has finished yet or a share is 0; grants change within 2 s. */
constexpr base::duration default_retry_after = std::chrono::seconds{1};
constexpr base::duration min_retry_after = std::chrono::milliseconds{1};
constexpr base::duration max_retry_after = std::chrono::hours{1};

base::duration from_seconds(double seconds) noexcept {
    const double most = std::chrono::duration<double>(max_retry_after).count();
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(std::clamp(seconds, 0.0, most)));
}

} // namespace

double admission::expected_generated(const row_state &row, double max_generated) const noexcept {
    return std::min(max_generated, row.mean_generated > 0 ? row.mean_generated : initial_generated_estimate);
}

admission::estimate admission::blocked_now(const row_state &row, const request_state &it) const {
    if (row.concurrency && row.running >= *row.concurrency) {
        return {refusal::concurrency, {}, false};
    }
    estimate worst;
    const auto consider = [&worst](refusal reason, std::optional<base::duration> wait) {
        if (!wait) {
            worst = {reason, default_retry_after, false};
        } else if (*wait > worst.wait) {
            worst = {reason, *wait, worst.certain};
        }
    };
    consider(refusal::rate, row.requests.wait(1, 0, now_));
    consider(refusal::prompt_tokens, row.prompt.wait(it.prompt, 0, now_));
    consider(refusal::generated_tokens, row.generated.wait(it.generated, 0, now_));
    return worst;
}

admission::estimate admission::expected_wait(const row_state &row, const request_state &it, const backlog &ahead,
                                             slot_wait counted) const {
    const auto &service = services_[row.service];
    const double own_slot = counted == slot_wait::included ? 1 : 0;
    // Before the first sample a guessed run time must not cause a refusal; it only enters retry_after.
    const double assumed_run = own_slot * std::chrono::duration<double>(default_retry_after).count();
    const double mean_run = service.mean_run > 0 ? service.mean_run : assumed_run;
    estimate worst;
    const auto consider = [&worst](refusal reason, std::optional<base::duration> wait) {
        const auto known = wait.value_or(default_retry_after);
        if (worst.reason == refusal::none ? known > base::duration::zero() : known > worst.wait) {
            worst.reason = reason;
            worst.wait = known;
        }
        worst.certain = worst.certain && wait.has_value();
    };
    consider(refusal::rate, row.requests.wait(1, ahead.requests, now_));
    consider(refusal::prompt_tokens, row.prompt.wait(it.prompt, ahead.prompt, now_));
    consider(refusal::generated_tokens, row.generated.wait(it.generated, ahead.generated, now_));
    if (row.concurrency) {
        if (*row.concurrency == 0) {
            consider(refusal::concurrency, std::nullopt);
        } else if (row.running + ahead.requests >= *row.concurrency) {
            const double slots_needed = row.running + ahead.requests - *row.concurrency + own_slot;
            consider(refusal::concurrency, from_seconds(slots_needed * mean_run / *row.concurrency));
        }
    }
    if (service.slots == 0) {
        consider(refusal::capacity, std::nullopt);
    } else if (service.running >= service.slots || ahead.requests > 0) {
        // The row is served a part of the service's token rate, in proportion to its weight among the waiting rows.
        const double weights = std::max(service.waiting_weight, row.limits.weight);
        const double cost_ahead = (ahead.prompt + ahead.generated) * weights / row.limits.weight;
        const double requests_ahead = service.mean_cost > 0 ? cost_ahead / service.mean_cost : 0.0;
        consider(refusal::capacity, from_seconds((requests_ahead + own_slot) * mean_run / service.slots));
    }
    return worst;
}

base::duration admission::retry_after(const row_state &row, const request_state &it, const backlog &ahead) const {
    const auto wait = expected_wait(row, it, ahead, slot_wait::included).wait;
    return wait > base::duration::zero() ? std::max(wait, min_retry_after) : default_retry_after;
}

} // namespace dotterelstack::limits
