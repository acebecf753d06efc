#include "roles/transfer_cost.hpp"

#include <algorithm>

#include "base/seconds.hpp"

namespace dotterelstack::roles {

namespace internal {

double missing_tokens(const transfer_offer &offer) noexcept {
    return offer.held_tokens > offer.hit_tokens ? offer.held_tokens - offer.hit_tokens : 0;
}

} // namespace internal

base::duration transfer_time(const transfer_settings &settings, const transfer_offer &offer) noexcept {
    const auto share = settings.bytes_per_second / (1.0 + offer.active_transfers);
    const auto sending = base::from_seconds(internal::missing_tokens(offer) * settings.bytes_per_token / share);
    return settings.setup + std::max(base::duration{0}, sending - offer.overlap);
}

base::duration recompute_time(const transfer_settings &settings, const transfer_offer &offer) noexcept {
    const auto own = internal::missing_tokens(offer) / settings.prefill_tokens_per_second;
    return offer.prefill_backlog + base::from_seconds(own);
}

transfer_plan plan_transfer(const transfer_settings &settings, const transfer_offer &offer) noexcept {
    const auto compute = recompute_time(settings, offer);
    const auto move = transfer_time(settings, offer);
    const auto engine_time =
        settings.engine_time_weight * internal::missing_tokens(offer) / settings.prefill_tokens_per_second;
    const bool cheaper = move < compute + base::from_seconds(engine_time);
    if (offer.same_failure_domain && offer.held_tokens > offer.hit_tokens && cheaper) {
        return {transfer_choice::move, move};
    }
    return {transfer_choice::recompute, compute};
}

} // namespace dotterelstack::roles
