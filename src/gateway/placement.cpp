#include "gateway/placement.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace dotterelstack::gateway {

namespace internal {

// Assumed until the first answer: between the usual times of short calls and of streams.
constexpr double initial_slot_ms = 100;
// Weight of the newest sample in the moving average.
constexpr double slot_time_gain = 0.05;
// Transfers between failure domains are slower by this factor.
constexpr double far_transfer_factor = 2;
// Weight of the newest sample in the correction factors of the estimates, and the range of a sample. Limiting it keeps
// one slow answer from diverting all requests from one kind of placement for long.
constexpr double correction_gain = 0.05;
constexpr double min_correction = 0.5;
constexpr double max_correction = 4;
// Random part of the cost, so that gateways do not all choose the same server.
constexpr double jitter_ms = 2;

double shared_tokens(const placement_request &request) {
    double out = 0;
    if (!request.prompt.empty()) {
        for (const auto &part : request.prompt.first(request.prompt.size() - 1)) {
            out += part.tokens;
        }
    }
    return std::min<double>(out, request.prompt_tokens);
}

base::duration milliseconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>{value});
}

} // namespace internal

placement::placement(const base::clock &time, const backend_table &table, random_source random,
                     placement_settings settings)
    : table_{table}, random_{std::move(random)}, settings_{settings}, prefixes_{time, settings.prefix_ttl}, warmth_{
                                                                                                                time} {}

double placement::slot_ms(std::string_view service) const {
    const auto it = slot_ms_.find(service);
    return it == slot_ms_.end() ? internal::initial_slot_ms : it->second;
}

void placement::on_slot_time(std::string_view service, base::duration held) {
    const double ms = std::chrono::duration<double, std::milli>(held).count();
    const auto it = slot_ms_.find(service);
    if (it == slot_ms_.end()) {
        slot_ms_.emplace(std::string{service}, ms);
    } else {
        it->second += internal::slot_time_gain * (ms - it->second);
    }
}

void placement::on_prefill_done(std::string_view engine, std::span<const prompt_part> prompt) {
    prefixes_.record(engine, prompt);
}

void placement::on_first_event(bool split, base::duration expected, base::duration taken) {
    double &factor = split ? split_factor_ : direct_factor_;
    const double estimate = std::max(1.0, std::chrono::duration<double, std::milli>(expected).count());
    const double seen = factor * std::chrono::duration<double, std::milli>(taken).count() / estimate;
    factor +=
        internal::correction_gain * (std::clamp(seen, internal::min_correction, internal::max_correction) - factor);
}

double placement::wait_ms(const backend_state &it) const {
    const double slots = std::max(1U, it.facts.slots);
    const double ahead = table_.outstanding(it) - slots + 1;
    return ahead <= 0 ? 0 : ahead * slot_ms(it.facts.service) / slots;
}

bool placement::has_room(const backend_state &it) const {
    const double slots = std::max(1U, it.facts.slots);
    return table_.outstanding(it) < slots * (1 + settings_.queue_per_slot);
}

double placement::penalty_ms(const backend_state &it, const placement_request &request) const {
    const double distance_cost = it.facts.failure_domain == request.failure_domain ? 0 : settings_.far_ms;
    return distance_cost + settings_.failure_ms * table_.failure_rate(it) + internal::jitter_ms * random_();
}

base::duration placement::free_in(const state_list &from) const {
    double best = std::numeric_limits<double>::max();
    for (const auto *it : from) {
        const double slots = std::max(1U, it->facts.slots);
        const double excess = table_.outstanding(*it) - slots * (1 + settings_.queue_per_slot) + 1;
        best = std::min(best, std::max(1.0, excess) * slot_ms(it->facts.service) / slots);
    }
    return internal::milliseconds(best);
}

placement_result placement::choose_plain(const placement_request &request, const state_list &from) {
    placement_result out{{}, placement_rejection::full, {}};
    double best = std::numeric_limits<double>::max();
    for (const auto *it : from) {
        if (!has_room(*it)) {
            continue;
        }
        // Load adds to the cost besides the wait: some backend servers slow down when they are nearly full.
        const double load = table_.outstanding(*it) / std::max(1U, it->facts.slots);
        const double cost = wait_ms(*it) + load * slot_ms(request.service) / 2 + penalty_ms(*it, request);
        if (cost < best) {
            best = cost;
            out.plan.run = it;
            out.plan.expected = internal::milliseconds(wait_ms(*it) + slot_ms(request.service));
            out.plan.typical = out.plan.expected;
            out.rejection = placement_rejection::none;
        }
    }
    return out;
}

placement::shared_prefix placement::prefix_of(const placement_request &request, const state_list &order) const {
    const auto home =
        std::ranges::find_if(order, [](const auto *it) { return it->facts.stage != engine_stage::prefill; });
    if (home == order.end()) {
        return {};
    }
    const double tokens = internal::shared_tokens(request);
    const bool seen = prefixes_.cached((*home)->facts.id, request.prompt) >= tokens;
    return {*home, tokens, seen ? 1 : warmth_.used_since((*home)->known_since)};
}

placement::prefill_work placement::prefill_work_at(const placement_request &request, const backend_state &engine,
                                                   const shared_prefix &prefix) const {
    prefill_work out{.own = request.prompt_tokens - prefix.tokens};
    if (prefix.home == nullptr) {
        return out;
    }
    const double missing = std::max(0.0, prefix.tokens - prefixes_.cached(engine.facts.id, request.prompt));
    out.cold = (1 - prefix.cached_probability) * missing;
    if (prefix.home != &engine) {
        const bool same_domain = engine.facts.failure_domain == prefix.home->facts.failure_domain;
        out.fetch_ms = prefix.cached_probability * missing / settings_.transfer_tokens_per_ms *
                       (same_domain ? 1 : internal::far_transfer_factor);
    }
    return out;
}

placement::candidate placement::direct(const placement_request &request, const backend_state &engine,
                                       const shared_prefix &prefix, double rank) const {
    const auto work = prefill_work_at(request, engine, prefix);
    const double tokens = work.own + work.cold;
    const double prefill_ms = tokens / settings_.decode_tokens_per_ms;
    const double pending_ms = table_.pending_prefill_tokens(engine) / settings_.decode_tokens_per_ms;
    candidate out{.plan = {.run = &engine,
                           .fetch_from = prefix.home == &engine ? nullptr : prefix.home,
                           .prefill_tokens = tokens}};
    const double factor = prefix.home == nullptr ? 1 : direct_factor_;
    out.own_ms = factor * (work.fetch_ms + prefill_ms);
    out.usual_ms = factor * (work.fetch_ms + work.own / settings_.decode_tokens_per_ms);
    out.expected_ms = factor * (wait_ms(engine) + pending_ms) + out.own_ms;
    // Load and prefill slow down the other generations of the engine.
    out.cost_ms = out.expected_ms + table_.outstanding(engine) + settings_.disturbance * prefill_ms +
                  penalty_ms(engine, request) + (prefix.home == nullptr ? 0 : settings_.spill_ms * rank);
    return out;
}

placement::candidate placement::split(const placement_request &request, const backend_state &prefill_engine,
                                      double rank, const candidate &decode_choice, const shared_prefix &prefix) const {
    const auto work = prefill_work_at(request, prefill_engine, prefix);
    const double tokens = work.own + work.cold;
    const double ahead = table_.pending_prefill_tokens(prefill_engine);
    const bool same_domain = prefill_engine.facts.failure_domain == decode_choice.plan.run->facts.failure_domain;
    candidate out{.plan = {.prefill = &prefill_engine,
                           .run = decode_choice.plan.run,
                           .fetch_from = prefix.home,
                           .prefill_tokens = tokens}};
    const double moving_ms =
        work.fetch_ms + settings_.transfer_setup_ms +
        request.prompt_tokens / settings_.transfer_tokens_per_ms * (same_domain ? 1 : internal::far_transfer_factor);
    out.own_ms = split_factor_ * (moving_ms + tokens / settings_.prefill_tokens_per_ms);
    out.usual_ms = split_factor_ * (moving_ms + work.own / settings_.prefill_tokens_per_ms);
    out.expected_ms =
        split_factor_ * (ahead / settings_.prefill_tokens_per_ms + wait_ms(*decode_choice.plan.run)) + out.own_ms;
    out.cost_ms = out.expected_ms + penalty_ms(prefill_engine, request) + settings_.spill_ms * rank;
    return out;
}

placement_result placement::choose_engine(const placement_request &request, const state_list &from) {
    const auto key = shared_prefix_key(request.prompt, settings_.min_shared_tokens);
    auto order = from;
    if (key != 0) {
        if (request.is_new) {
            warmth_.on_request(key);
        }
        std::ranges::sort(order, std::ranges::greater{},
                          [key](const auto *it) { return rendezvous_rank(key, it->facts.id); });
    }
    const auto prefix = key == 0 ? shared_prefix{} : prefix_of(request, order);
    std::optional<candidate> best;
    std::optional<candidate> decode_choice;
    double rank = 0;
    for (const auto *it : order) {
        if (it->facts.stage == engine_stage::prefill) {
            continue;
        }
        if (has_room(*it)) {
            const auto now = direct(request, *it, prefix, rank);
            best = !best || now.cost_ms < best->cost_ms ? now : best;
            // Decode engine for a split: the nearest to the home in the order that has free slots.
            const double place = wait_ms(*it) + settings_.spill_ms * rank + penalty_ms(*it, request);
            if (!decode_choice || place < decode_choice->cost_ms) {
                decode_choice = candidate{.plan = now.plan, .cost_ms = place};
            }
        }
        rank += 1;
    }
    rank = 0;
    for (const auto *it : order) {
        if (it->facts.stage == engine_stage::prefill && request.may_split && key != 0 && decode_choice) {
            const auto now = split(request, *it, rank, *decode_choice, prefix);
            best = now.cost_ms < best->cost_ms ? now : best;
            rank += 1;
        }
    }
    if (!best) {
        return {{}, placement_rejection::full, {}};
    }
    best->plan.expected = internal::milliseconds(best->expected_ms);
    best->plan.typical = best->plan.expected;
    if (key != 0) {
        const double mean = mean_usual_ms_.value_or(best->usual_ms);
        mean_usual_ms_ = mean + internal::slot_time_gain * (best->usual_ms - mean);
        best->plan.typical = internal::milliseconds(best->expected_ms - best->own_ms + *mean_usual_ms_);
    }
    best->plan.has_home = key != 0;
    return {best->plan, placement_rejection::none, {}};
}

placement_result placement::choose(const placement_request &request) {
    auto usable = table_.available(request.service);
    if (usable.empty()) {
        return {{}, placement_rejection::no_backend, {}};
    }
    std::erase_if(usable, [&request](const auto *it) {
        return std::ranges::find(request.excluded, it->facts.id) != request.excluded.end();
    });
    if (usable.empty()) {
        return {{}, placement_rejection::excluded, {}};
    }
    const bool engine =
        std::ranges::any_of(usable, [](const auto *it) { return it->facts.stage != engine_stage::none; });
    auto out = engine ? choose_engine(request, usable) : choose_plain(request, usable);
    if (out.rejection == placement_rejection::full) {
        out.free_in = free_in(usable);
    }
    return out;
}

} // namespace dotterelstack::gateway
