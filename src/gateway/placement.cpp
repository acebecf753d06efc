#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace dotterelstack::gateway {

namespace internal {

// Assumed until the first answer: between the usual times of short calls and of streams.
constexpr double initial_slot_ms = 100;
// Weight of the newest sample in moving averages.
constexpr double mean_gain = 0.05;
// Factor by which the queue before a request may be longer when the request is much larger than its route's mean.
constexpr double max_size_allowance = 1.25;
// Random part of the cost, so that gateways do not all choose the same server.
constexpr double jitter_cost = 0.005;
// Spread of measured around expected times: with 1/exponent as the scale of a logistic distribution of their logarithm.
constexpr double lateness_exponent = 3;
// Latency objective of routes that declare none.
constexpr double default_objective_ms = 1000;
// An objective that is almost used up must not make all placements equally bad.
constexpr double min_objective_ms = 50;

double shared_tokens(const placement_request &request) {
    double out = 0;
    if (!request.prompt.empty()) {
        for (const auto &part : request.prompt.first(request.prompt.size() - 1)) {
            out += part.tokens;
        }
    }
    return std::min<double>(out, request.prompt_tokens);
}

base::duration to_duration(double ms) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>{ms});
}

double to_ms(base::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

void update_mean(std::map<std::string, double, std::less<>> &means, std::string_view name, double sample) {
    const auto it = means.find(name);
    if (it == means.end()) {
        means.emplace(std::string{name}, sample);
    } else {
        it->second += mean_gain * (sample - it->second);
    }
}

bool same_domain(const backend_state &a, const backend_state &b) {
    return a.facts.failure_domain == b.facts.failure_domain;
}

} // namespace internal

placement::placement(const base::clock &time, const backend_table &table, random_source random,
                     placement_settings settings)
    : time_{time}, table_{table}, random_{std::move(random)}, settings_{settings}, prefixes_{time, settings.prefix_ttl},
      warmth_{time} {}

double placement::slot_ms(std::string_view service) const {
    const auto it = slot_ms_.find(service);
    return it == slot_ms_.end() ? internal::initial_slot_ms : it->second;
}

base::duration placement::slot_time(std::string_view service) const {
    return internal::to_duration(slot_ms(service));
}

base::duration placement::slot_time_age(std::string_view service) const {
    const auto it = slot_ms_at_.find(service);
    return it == slot_ms_at_.end() ? base::duration{0} : time_.now() - it->second;
}

std::optional<double> placement::on_slot_time(std::string_view service, std::string_view server, base::duration held) {
    slot_ms_at_.insert_or_assign(std::string{service}, time_.now());
    const double held_ms = internal::to_ms(held);
    const auto *state = table_.find(server);
    if (state == nullptr || !table_.was_unqueued(*state)) {
        internal::update_mean(slot_ms_, service, held_ms);
        return std::nullopt;
    }
    const bool plain = state->facts.stage == engine_stage::none;
    const auto ratio =
        plain && slot_ms_.contains(service) ? std::optional{held_ms / std::max(1.0, slot_ms(service))} : std::nullopt;
    internal::update_mean(slot_ms_, service, held_ms / table_.slowness(*state));
    return ratio;
}

void placement::on_prefill_done(std::string_view engine, std::span<const prompt_part> prompt) {
    prefixes_.record(engine, prompt);
}

placement::engine_timing &placement::timing_of(std::string_view service) {
    const auto it = timings_.find(service);
    if (it != timings_.end()) {
        return it->second;
    }
    engine_timing initial;
    for (const auto &prior : {settings_.direct, settings_.prefill, settings_.near_transfer, settings_.far_transfer}) {
        initial.emplace_back(prior);
    }
    return timings_.emplace(std::string{service}, std::move(initial)).first->second;
}

const size_time_model &placement::timing(std::string_view service, call_kind kind) {
    return timing_of(service).at(static_cast<std::size_t>(kind));
}

std::optional<double> placement::on_call_time(std::string_view service, std::string_view engine,
                                              const call_estimate &expected, base::duration taken) {
    const auto *state = table_.find(engine);
    if (!expected.load_known && (state == nullptr || !table_.was_alone(*state))) {
        return std::nullopt;
    }
    auto &model = timing_of(service).at(static_cast<std::size_t>(expected.kind));
    const double slowness = state == nullptr ? 1 : table_.slowness(*state);
    const double own_ms = std::max(1.0, internal::to_ms(taken) - expected.other_ms);
    const double ratio = own_ms / std::max(1.0, model.expected_ms(expected.tokens));
    model.record(expected.tokens, own_ms / slowness);
    return ratio;
}

double placement::wait_ms(const backend_state &it, double slowness) const {
    const double slots = std::max(1U, it.facts.slots);
    const double ahead = table_.outstanding(it) - slots + 1;
    return ahead <= 0 ? 0 : ahead * queue_factor(it, slowness) * slot_ms(it.facts.service) / slots;
}

double placement::queue_factor(const backend_state &it, double slowness) {
    return it.speed && it.speed->shares_host() ? slowness : 1;
}

double placement::places(const backend_state &it, double slowness) const {
    // Queues of equal length in time: a server that works faster may have more requests in its queue.
    return std::max(1U, it.facts.slots) * (1 + settings_.queue_per_slot / queue_factor(it, slowness));
}

bool placement::has_room(const backend_state &it, double slowness) const {
    return table_.outstanding(it) < places(it, slowness);
}

double placement::loss(const placement_request &request, double expected_ms) const {
    const double objective = request.objective > base::duration{0}
                                 ? std::max(internal::min_objective_ms, internal::to_ms(request.objective))
                                 : internal::default_objective_ms;
    const double relative = std::max(0.0, expected_ms) / objective;
    const double odds = std::pow(relative, internal::lateness_exponent);
    return settings_.late_cost * odds / (1 + odds) + settings_.time_cost * relative;
}

double placement::penalty(const backend_state &it, const placement_request &request) const {
    const double distance_cost = it.facts.failure_domain == request.failure_domain ? 0 : settings_.far_cost;
    const double load = table_.outstanding(it) / std::max(1U, it.facts.slots);
    const double silence_cost = table_.silent(it) ? settings_.silence_cost : 0;
    return distance_cost + silence_cost + settings_.load_cost * load +
           settings_.failure_cost * table_.failure_rate(it) + internal::jitter_cost * random_();
}

double placement::unknown_requests(const backend_state &it) const {
    // Requests of others come and go within about the time for which one holds a slot, so an older report says nothing.
    const auto age = table_.report_age(it);
    const double known = age ? std::exp(-internal::to_ms(*age) / slot_ms(it.facts.service)) : 0;
    return std::sqrt(table_.usual_others(it) * (1 - known));
}

/** @param added_ms Time that one more request at the server adds. */
double placement::spread_cost(const backend_state &it, const placement_request &request, double expected_ms,
                              double added_ms) const {
    if (!it.speed || !it.speed->shares_host()) {
        return 0;
    }
    const double n = unknown_requests(it);
    const double spread = it.speed->factor_spread();
    const double later_ms = expected_ms * (1 + spread) + n * added_ms;
    const double lost = loss(request, later_ms) - loss(request, expected_ms);
    const double load = settings_.load_cost * n / std::max(1U, it.facts.slots);
    return settings_.uncertainty_share * (lost + load) * random_();
}

double placement::disturbance(double tokens) const {
    const double linear = settings_.disturbance_cost * tokens / 1000;
    return settings_.max_disturbance * (1 - std::exp(-linear / settings_.max_disturbance));
}

base::duration placement::free_in(const state_list &from) const {
    double best = std::numeric_limits<double>::max();
    for (const auto *it : from) {
        const double slowness = table_.slowness(*it);
        const double slots = std::max(1U, it->facts.slots);
        const double excess = table_.outstanding(*it) - places(*it, slowness) + 1;
        best = std::min(best, std::max(1.0, excess) * queue_factor(*it, slowness) * slot_ms(it->facts.service) / slots);
    }
    return internal::to_duration(best);
}

placement_result placement::choose_plain(const placement_request &request, const state_list &from) {
    placement_result out{{}, placement_rejection::full, {}};
    double best = std::numeric_limits<double>::max();
    for (const auto *it : from) {
        const double slowness = table_.slowness(*it);
        if (!has_room(*it, slowness)) {
            continue;
        }
        const double waiting_ms = wait_ms(*it, slowness) / queue_factor(*it, slowness);
        const double expected_ms = slowness * (waiting_ms + slot_ms(request.service));
        const double added_ms = slowness * slot_ms(request.service) / std::max(1U, it->facts.slots);
        const double cost =
            loss(request, expected_ms) + penalty(*it, request) + spread_cost(*it, request, expected_ms, added_ms);
        if (cost < best) {
            best = cost;
            out.plan.run = it;
            out.plan.expected = internal::to_duration(expected_ms);
            out.plan.typical = out.plan.expected;
            out.rejection = placement_rejection::none;
        }
    }
    return out;
}

std::vector<placement::ranked_engine> placement::engines_of(engine_stage stage, const state_list &from,
                                                            std::uint64_t key) {
    state_list all;
    for (const auto *it : from) {
        if ((it->facts.stage == engine_stage::prefill) == (stage == engine_stage::prefill)) {
            all.push_back(it);
        }
    }
    const auto n = std::min(all.size(), settings_.max_candidates);
    std::vector<ranked_engine> out;
    out.reserve(n);
    if (key == 0) {
        // All of them, or as many as are compared, from a random position.
        const auto first = static_cast<std::size_t>(random_() * static_cast<double>(all.size()));
        for (std::size_t it = 0; it < n; ++it) {
            const auto *engine = all[(first + it) % all.size()];
            out.push_back({engine, 0, table_.slowness(*engine)});
        }
        return out;
    }
    // By weighted rank; the rank itself decides between those that are equal as floating-point numbers.
    using position = std::tuple<double, std::uint64_t, const backend_state *>;
    std::vector<position> order;
    order.reserve(all.size());
    for (const auto *it : all) {
        const auto rank = rendezvous_rank(key, it->id_hash);
        order.emplace_back(weighted_rank(rank, it->home.value()), rank, it);
    }
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(n), std::ranges::greater{});
    for (std::size_t it = 0; it < n; ++it) {
        const auto *engine = std::get<const backend_state *>(order[it]);
        out.push_back({engine, static_cast<double>(it), table_.slowness(*engine)});
    }
    return out;
}

placement::shared_prefix placement::prefix_of(const placement_request &request,
                                              std::span<const ranked_engine> decoders) const {
    if (decoders.empty()) {
        return {};
    }
    const auto &home = *decoders.front().engine;
    const double tokens = internal::shared_tokens(request);
    const bool seen = prefixes_.cached(home.facts.id, request.prompt) >= tokens;
    return {&home, tokens, seen ? 1 : warmth_.used_since(home.known_since)};
}

placement::prefill_work placement::prefill_work_at(const placement_request &request, const backend_state &engine,
                                                   const shared_prefix &prefix) {
    prefill_work out{.own = request.prompt_tokens - prefix.tokens};
    if (prefix.home == nullptr) {
        return out;
    }
    const double missing = std::max(0.0, prefix.tokens - prefixes_.cached(engine.facts.id, request.prompt));
    out.cold = (1 - prefix.cached_probability) * missing;
    if (prefix.home != &engine && missing > 0) {
        const auto kind =
            internal::same_domain(engine, *prefix.home) ? call_kind::near_transfer : call_kind::far_transfer;
        const auto &model = timing(request.service, kind);
        out.fetched = prefix.cached_probability * missing;
        out.fetch_ms = model.expected_ms(out.fetched) - model.expected_ms(0);
    }
    return out;
}

placement::candidate placement::direct(const placement_request &request, const ranked_engine &at,
                                       const shared_prefix &prefix) {
    const auto &engine = *at.engine;
    const auto work = prefill_work_at(request, engine, prefix);
    const double tokens = work.own + work.cold;
    const double ahead = table_.pending_prefill_tokens(engine);
    const double slowness = at.slowness;
    const auto &model = timing(request.service, call_kind::direct);
    const double other_ms = wait_ms(engine, slowness) + work.fetch_ms;
    candidate out{.plan = {.run = &engine,
                           .fetch_from = prefix.home == &engine ? nullptr : prefix.home,
                           .prefill_tokens = tokens,
                           .first = {call_kind::direct, ahead + tokens, other_ms, table_.load_known(engine)}}};
    const double idle_ms = model.expected_ms(0);
    out.own_ms = slowness * (model.expected_ms(tokens) - idle_ms) + work.fetch_ms;
    out.usual_ms = model.expected_ms(work.own) - idle_ms + work.fetch_ms;
    out.expected_ms = slowness * model.expected_ms(ahead + tokens) + other_ms;
    const double added_ms = slowness * (model.expected_ms(table_.usual_pending_prefill(engine)) - idle_ms);
    out.cost = loss(request, out.expected_ms) + penalty(engine, request) +
               spread_cost(engine, request, out.expected_ms, added_ms) + settings_.spill_cost * at.rank +
               disturbance(tokens) + settings_.move_cost * work.fetched / 1000;
    return out;
}

placement::candidate placement::split(const placement_request &request, const ranked_engine &at,
                                      const std::pair<double, const backend_state *> &decoder,
                                      const shared_prefix &prefix) {
    const auto &engine = *at.engine;
    const auto &run = *decoder.second;
    const auto work = prefill_work_at(request, engine, prefix);
    const double tokens = work.own + work.cold;
    const double ahead = table_.pending_prefill_tokens(engine);
    const double slowness = at.slowness;
    const double run_slowness = table_.slowness(run);
    const auto &model = timing(request.service, call_kind::prefill);
    const auto move = internal::same_domain(engine, run) ? call_kind::near_transfer : call_kind::far_transfer;
    const double moved = request.prompt_tokens;
    const double move_ms = timing(request.service, move).expected_ms(moved);
    const double waiting_ms = wait_ms(run, run_slowness);
    candidate out{.plan = {.prefill = &engine,
                           .run = &run,
                           .fetch_from = prefix.home,
                           .prefill_tokens = tokens,
                           .first = {call_kind::prefill, ahead + tokens, work.fetch_ms, table_.load_known(engine)},
                           .second = {move, moved, waiting_ms, table_.load_known(run)}}};
    const double idle_ms = model.expected_ms(0);
    out.own_ms = slowness * (model.expected_ms(tokens) - idle_ms) + work.fetch_ms + move_ms;
    out.usual_ms = model.expected_ms(work.own) - idle_ms + work.fetch_ms + move_ms;
    out.expected_ms =
        slowness * model.expected_ms(ahead + tokens) + work.fetch_ms + waiting_ms + run_slowness * move_ms;
    const double added_ms = slowness * (model.expected_ms(table_.usual_pending_prefill(engine)) - idle_ms);
    out.cost = loss(request, out.expected_ms) + penalty(engine, request) +
               spread_cost(engine, request, out.expected_ms, added_ms) + decoder.first +
               settings_.spill_cost * at.rank + settings_.move_cost * (moved + work.fetched) / 1000;
    return out;
}

base::duration placement::typical_time(const placement_request &request, const candidate &chosen) {
    // A request that waits is compared again and again, but it is one sample.
    if (request.is_new || !mean_usual_ms_.contains(request.route)) {
        internal::update_mean(mean_usual_ms_, request.route, chosen.usual_ms);
    }
    const double mean = std::max(1.0, mean_usual_ms_.find(request.route)->second);
    // Large requests have fewer engines to choose from, and most of them are late anyway. With the same limit they
    // would be refused far more often than small ones.
    const double allowance = std::clamp(chosen.own_ms / mean, 1.0, internal::max_size_allowance);
    return internal::to_duration((chosen.expected_ms - chosen.own_ms + mean) / allowance);
}

placement_result placement::choose_engine(const placement_request &request, const state_list &from) {
    const auto key = shared_prefix_key(request.prompt, settings_.min_shared_tokens);
    if (key != 0 && request.is_new) {
        warmth_.on_request(key);
    }
    const auto decoders = engines_of(engine_stage::decode, from, key);
    const auto prefix = key == 0 ? shared_prefix{} : prefix_of(request, decoders);
    std::optional<candidate> best;
    decode_choices choices;
    const auto consider = [&best](const candidate &it) {
        if (!best || it.cost < best->cost) {
            best = it;
        }
    };
    for (const auto &at : decoders) {
        if (!has_room(*at.engine, at.slowness)) {
            continue;
        }
        consider(direct(request, at, prefix));
        const double cost = loss(request, wait_ms(*at.engine, at.slowness)) + penalty(*at.engine, request) +
                            settings_.spill_cost * at.rank;
        const auto [it, first] = choices.try_emplace(at.engine->facts.failure_domain, cost, at.engine);
        if (!first && cost < it->second.first) {
            it->second = {cost, at.engine};
        }
    }
    if (request.may_split && request.prompt_tokens >= settings_.min_split_tokens && !choices.empty()) {
        const auto &cheapest = *std::ranges::min_element(choices, {}, [](const auto &it) { return it.second.first; });
        for (const auto &at : engines_of(engine_stage::prefill, from, key)) {
            consider(split(request, at, cheapest.second, prefix));
            const auto near = choices.find(at.engine->facts.failure_domain);
            if (near != choices.end() && near->second.second != cheapest.second.second) {
                consider(split(request, at, near->second, prefix));
            }
        }
    }
    if (!best) {
        return {{}, placement_rejection::full, {}};
    }
    best->plan.expected = internal::to_duration(best->expected_ms);
    best->plan.typical = typical_time(request, *best);
    return {best->plan, placement_rejection::none, {}};
}

placement_result placement::choose(const placement_request &request) {
    auto usable = table_.available(request.service);
    if (usable.empty()) {
        if (const auto wait = table_.opens_in(request.service, request.excluded)) {
            return {{}, placement_rejection::full, *wait};
        }
        const auto of_tried = table_.opens_in(request.service, {});
        return {{},
                of_tried ? placement_rejection::excluded : placement_rejection::no_backend,
                of_tried.value_or(base::duration{0})};
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
