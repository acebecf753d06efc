#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/seconds.hpp"

namespace dotterelstack::routing {

namespace internal {

constexpr std::uint32_t unknown_domain = std::numeric_limits<std::uint32_t>::max();

// Weight of one request in the moving average of prompt lengths, which covers about the last 50 requests.
constexpr double prompt_mean_weight = 0.02;

// A rejection before hand-over usually means that data here was stale, such as a drain not yet known; it weighs less
// than a failure.
constexpr double rejection_weight = 0.25;

// Bounds the memory for a backend server that stops reporting; dropping a finished request overestimates its load.
constexpr std::size_t max_finished = 256;

std::uint32_t minus(std::uint32_t from, std::uint32_t n) noexcept {
    return from > n ? from - n : 0;
}

bool role_fits(backend_role role, request_phase phase) noexcept {
    switch (role) {
    case backend_role::prefill:
        return phase == request_phase::prefill;
    case backend_role::decode:
        return phase == request_phase::decode;
    default:
        return true;
    }
}

bool contains(std::span<const std::string> names, std::string_view name) noexcept {
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace internal

base::error to_error(refusal it) {
    using base::error_kind;
    switch (it.kind) {
    case refusal_kind::all_leaving:
        return {error_kind::unavailable, "all_leaving",
                "every backend server for this service is being drained; retry when a replacement has started"};
    case refusal_kind::no_memory:
        if (it.permanent) {
            return {error_kind::invalid_argument, "too_large",
                    "the prompt and max_tokens exceed the memory of every backend server; shorten one of them"};
        }
        return {error_kind::exhausted, "no_memory",
                "no backend server has enough free memory for this prompt; retry after running requests end"};
    default:
        return {error_kind::unavailable, "no_backend",
                "no healthy backend server serves this service and model; check `dotterelstack status`"};
    }
}

/** State of one call of `choose`. */
struct router::search {
    const route_request &request;
    std::uint32_t domain{0};
    base::instant now;
    candidate best{.wait = {}, .cost = std::numeric_limits<double>::infinity()};
    bool any{false};       /**< At least one backend server was not excluded. */
    bool any_large{false}; /**< At least one has enough memory in total. */
    bool found{false};
};

router::router(const base::clock &time, random_source random, router_settings settings)
    : time_{time}, random_{std::move(random)}, settings_{settings}, prefixes_{settings.prefix_capacity} {}

router::slot *router::find_slot(std::string_view name) noexcept {
    const auto it = names_.find(name);
    return it == names_.end() ? nullptr : &slots_[it->second];
}

const router::slot *router::find_slot(std::string_view name) const noexcept {
    const auto it = names_.find(name);
    return it == names_.end() ? nullptr : &slots_[it->second];
}

router::pool *router::find_pool(std::string_view service, std::string_view model) noexcept {
    const auto by_model = pools_.find(service);
    if (by_model == pools_.end()) {
        return nullptr;
    }
    const auto it = by_model->second.find(model);
    return it == by_model->second.end() ? nullptr : &it->second;
}

std::uint32_t router::domain_id(std::string_view name) {
    if (const auto it = domains_.find(name); it != domains_.end()) {
        return it->second;
    }
    const auto id = static_cast<std::uint32_t>(domains_.size());
    domains_.emplace(name, id);
    return id;
}

std::uint32_t router::find_domain(std::string_view name) const noexcept {
    const auto it = domains_.find(name);
    return it == domains_.end() ? internal::unknown_domain : it->second;
}

router::slot_id router::allocate_slot() {
    if (!unused_slots_.empty()) {
        const auto id = unused_slots_.back();
        unused_slots_.pop_back();
        return id;
    }
    slots_.emplace_back();
    return static_cast<slot_id>(slots_.size() - 1);
}

template<typename Function>
void router::for_each_pool(const backend_facts &facts, Function function) {
    auto &by_model = pools_[facts.service];
    if (facts.models.empty()) {
        function(by_model[std::string{}]);
    }
    for (const auto &model : facts.models) {
        function(by_model[model]);
    }
}

template<typename Function>
void router::for_each_list(pool &target, backend_role role, Function function) {
    function(target.eligible);
    for (std::size_t phase = 0; phase < target.fitting.size(); ++phase) {
        if (internal::role_fits(role, static_cast<request_phase>(phase))) {
            function(target.fitting[phase]);
        }
    }
}

void router::add_to_pools(slot_id id) {
    const auto &it = slots_[id];
    for_each_pool(it.facts, [&](pool &target) {
        ++target.members;
        target.leaving += it.facts.leaving ? 1 : 0;
        if (!it.facts.healthy || it.facts.leaving) {
            return;
        }
        for_each_list(target, it.role, [&](eligible_list &list) {
            list.all.push_back(id);
            list.by_domain.resize(std::max<std::size_t>(list.by_domain.size(), it.domain + 1));
            list.by_domain[it.domain].push_back(id);
        });
    });
}

void router::remove_from_pools(slot_id id) {
    const auto &it = slots_[id];
    for_each_pool(it.facts, [&](pool &target) {
        --target.members;
        target.leaving -= it.facts.leaving ? 1 : 0;
        if (!it.facts.healthy || it.facts.leaving) {
            return;
        }
        for_each_list(target, it.role, [&](eligible_list &list) {
            std::erase(list.all, id);
            std::erase(list.by_domain[it.domain], id);
        });
    });
}

void router::reset_load(slot &it) {
    for (auto *one : it.in_flight) {
        one->generation = 0;
    }
    it.in_flight.clear();
    it.finished_since_report.clear();
    it.has_report = false;
    it.report = {};
    it.failures = 0;
    ++it.generation;
    recount(it);
}

void router::update_backend(backend_facts facts) {
    auto known = names_.find(facts.name);
    if (known == names_.end()) {
        known = names_.emplace(facts.name, allocate_slot()).first;
        reset_load(slots_[known->second]);
        prefixes_.forget(known->second);
    } else {
        remove_from_pools(known->second);
        if (slots_[known->second].facts.incarnation != facts.incarnation) {
            reset_load(slots_[known->second]);
            prefixes_.forget(known->second);
        }
    }
    auto &it = slots_[known->second];
    it.total_blocks = facts.total_blocks;
    it.block_tokens = std::max(facts.block_tokens, 1U);
    it.role = facts.role;
    it.domain = domain_id(facts.failure_domain);
    it.facts = std::move(facts);
    recount(it);
    add_to_pools(known->second);
}

void router::remove_backend(std::string_view name) {
    const auto known = names_.find(name);
    if (known == names_.end()) {
        return;
    }
    const auto id = known->second;
    remove_from_pools(id);
    reset_load(slots_[id]);
    prefixes_.forget(id);
    slots_[id].facts = {};
    names_.erase(known);
    unused_slots_.push_back(id);
}

bool router::apply_report(std::string_view name, const load_report &report) {
    auto *it = find_slot(name);
    if (it == nullptr || (it->has_report && report.seq <= it->report.seq)) {
        return false;
    }
    const auto report_made_at = time_.now() - report.age;
    it->has_report = true;
    it->report = report;
    it->report_made_at = report_made_at;
    for (auto *one : it->in_flight) {
        one->in_report = one->started_at + settings_.report_margin <= report_made_at;
    }
    // The report still includes a finished request that started before the report was made and finished after it.
    std::erase_if(it->finished_since_report, [&](const finished_request &one) {
        return one.finished_at <= report_made_at + settings_.report_margin;
    });
    recount(*it);
    return true;
}

void router::recount(slot &it) {
    load sum;
    for (const auto *one : it.in_flight) {
        (one->in_report ? sum.known : sum.unreported) += 1;
        (one->in_report ? sum.known_prefill : sum.unreported_prefill) += one->prefill_tokens;
        sum.unreported_blocks += one->in_report ? 0 : one->blocks;
    }
    sum.free = it.has_report ? it.report.free_blocks : it.total_blocks;
    sum.queued = it.report.queued;
    sum.reported = it.report.running + it.report.queued;
    for (const auto &one : it.finished_since_report) {
        if (one.started_at + settings_.report_margin <= it.report_made_at) {
            sum.reported = internal::minus(sum.reported, 1);
            sum.free += one.blocks;
        }
    }
    sum.free = std::min(sum.free, it.total_blocks);
    it.current_load = sum;
}

bool router::apply_cache_event(std::string_view name, const cache_event &event) {
    const auto it = names_.find(name);
    return it != names_.end() && prefixes_.apply(it->second, event);
}

std::uint32_t router::outstanding_of(const slot &it) noexcept {
    return std::max(it.current_load.reported, it.current_load.known) + it.current_load.unreported;
}

std::uint32_t router::free_of(const slot &it) noexcept {
    return internal::minus(it.current_load.free, it.current_load.unreported_blocks);
}

std::uint32_t router::blocks_needed(const slot &it, const route_request &request) const noexcept {
    const auto output = std::min(request.max_tokens, settings_.reserved_output_tokens);
    const auto tokens = std::uint64_t{request.prompt_tokens} + output;
    return static_cast<std::uint32_t>((tokens + it.block_tokens - 1) / it.block_tokens);
}

double router::failures_now(const slot &it, base::instant now) const noexcept {
    if (it.failures == 0) {
        return 0;
    }
    return it.failures *
           std::exp2(-base::to_seconds(now - it.failures_at) / base::to_seconds(settings_.failure_half_life));
}

router::wait_estimate router::wait_of(const slot &it, const route_request &request,
                                      std::uint32_t hit_tokens) const noexcept {
    // For requests queued by other entries only their number is known; their prompts are assumed to be of mean length.
    const auto queued =
        std::max(it.current_load.queued * mean_prompt_tokens_, static_cast<double>(it.current_load.known_prefill));
    const auto own = request.phase == request_phase::decode ? 0 : internal::minus(request.prompt_tokens, hit_tokens);
    const auto rate = settings_.prefill_tokens_per_second[static_cast<std::size_t>(it.role)];
    return {(queued + it.current_load.unreported_prefill) / rate, own / rate};
}

double router::cost_of(const slot &it, base::instant now) const noexcept {
    return settings_.outstanding_cost * outstanding_of(it) + settings_.failure_cost * failures_now(it, now);
}

void router::consider(search &state, slot_id id, std::uint32_t hit_blocks) {
    const auto &it = slots_[id];
    if (!state.request.excluded.empty() && internal::contains(state.request.excluded, it.facts.name)) {
        return;
    }
    if (state.request.only_failure_domain && it.domain != state.domain) {
        return;
    }
    state.any = true;
    const auto need = blocks_needed(it, state.request);
    if (it.total_blocks != 0 && need > it.total_blocks) {
        return;
    }
    state.any_large = true;
    const auto hit_tokens = std::min(hit_blocks * it.block_tokens, state.request.prompt_tokens);
    if (it.total_blocks != 0 && need > free_of(it) + hit_blocks) {
        return;
    }
    const auto wait = wait_of(it, state.request, hit_tokens);
    const auto cost = wait.queue + wait.own + cost_of(it, state.now);
    if (cost < state.best.cost) {
        state.best = {id, hit_tokens, wait, cost};
        state.found = true;
    }
}

void router::consider_samples(search &state, const std::vector<slot_id> &from, std::size_t n) {
    if (from.empty()) {
        return;
    }
    if (from.size() <= n) {
        // Start at a random position, so that the first of several equal costs is not always chosen.
        const auto start = static_cast<std::size_t>(random_() % from.size());
        for (std::size_t it = 0; it < from.size(); ++it) {
            consider(state, from[(start + it) % from.size()], 0);
        }
        return;
    }
    for (std::size_t it = 0; it < n; ++it) {
        consider(state, from[static_cast<std::size_t>(random_() % from.size())], 0);
    }
}

void router::consider_prefix_holders(search &state) {
    const auto &request = state.request;
    prefix_index::matches held{};
    const auto n = request.prefix_blocks.empty() ? 0 : prefixes_.find(request.prefix_blocks, held);
    for (std::size_t it = 0; it < n; ++it) {
        const auto &facts = slots_[held[it].backend].facts;
        const bool serves = facts.service == request.service &&
                            std::find(facts.models.begin(), facts.models.end(), request.model) != facts.models.end();
        if (serves && facts.healthy && !facts.leaving && internal::role_fits(facts.role, request.phase)) {
            consider(state, held[it].backend, held[it].blocks);
        }
    }
}

void router::consider_eligible(search &state, const eligible_list &from) {
    const bool local = from.all.size() > settings_.samples && state.domain < from.by_domain.size() &&
                       !from.by_domain[state.domain].empty();
    if (local) {
        consider_samples(state, from.by_domain[state.domain], (settings_.samples + 1) / 2);
    }
    consider_samples(state, from.all, local ? settings_.samples / 2 : settings_.samples);
    if (!state.found) {
        // The sampled backend servers may all be unsuitable; only a scan of the whole pool justifies a refusal.
        consider_samples(state, from.all, from.all.size());
    }
}

choice router::choose(const route_request &request) {
    const auto *from = find_pool(request.service, request.model);
    if (from == nullptr || from->members == 0) {
        return refusal{refusal_kind::no_backend};
    }
    if (from->leaving == from->members) {
        return refusal{refusal_kind::all_leaving};
    }
    search state{.request = request, .domain = find_domain(request.failure_domain), .now = time_.now()};
    consider_prefix_holders(state);
    consider_eligible(state, from->fitting[static_cast<std::size_t>(request.phase)]);
    if (!state.any_large) {
        consider_eligible(state, from->eligible);
    }
    if (!state.found) {
        return state.any ? refusal{refusal_kind::no_memory, !state.any_large} : refusal{refusal_kind::no_backend};
    }
    const auto &best = state.best;
    return selection{&slots_[best.slot].facts, best.hit_tokens, base::from_seconds(best.wait.queue),
                     base::from_seconds(best.wait.queue + best.wait.own)};
}

void router::started(std::string_view id, std::string_view backend, const route_request &request) {
    const auto known = names_.find(backend);
    if (known == names_.end()) {
        return;
    }
    const auto [position, inserted] = in_flight_.try_emplace(std::string{id});
    if (!inserted) {
        return;
    }
    auto &it = slots_[known->second];
    prefix_index::matches held{};
    const auto n = request.prefix_blocks.empty() ? 0 : prefixes_.find(request.prefix_blocks, held);
    std::uint32_t hit = 0;
    for (std::size_t at = 0; at < n; ++at) {
        hit = held[at].backend == known->second ? held[at].blocks * it.block_tokens : hit;
    }
    const auto prefill = request.phase == request_phase::decode ? 0 : internal::minus(request.prompt_tokens, hit);
    position->second = {.started_at = time_.now(),
                        .prefill_tokens = prefill,
                        .blocks = it.total_blocks == 0 ? 0 : blocks_needed(it, request),
                        .generation = it.generation,
                        .slot = known->second};
    it.in_flight.push_back(&position->second);
    ++it.current_load.unreported;
    it.current_load.unreported_prefill += prefill;
    it.current_load.unreported_blocks += position->second.blocks;
    mean_prompt_tokens_ += internal::prompt_mean_weight * (prefill - mean_prompt_tokens_);
    prefixes_.add(known->second, request.prefix_blocks);
}

void router::progress(std::string_view id) {
    const auto position = in_flight_.find(id);
    if (position == in_flight_.end() || position->second.generation == 0 || position->second.prefill_tokens == 0) {
        return;
    }
    auto &one = position->second;
    auto &sum = slots_[one.slot].current_load;
    (one.in_report ? sum.known_prefill : sum.unreported_prefill) -= one.prefill_tokens;
    one.prefill_tokens = 0;
}

void router::record_failure(slot &it, double weight) {
    const auto now = time_.now();
    it.failures = failures_now(it, now) + weight;
    it.failures_at = now;
}

void router::finished(std::string_view id, std::string_view backend, outcome how) {
    const auto position = in_flight_.find(id);
    if (position == in_flight_.end()) {
        return;
    }
    const auto one = position->second;
    // A request sent to an earlier incarnation says nothing about the current one.
    if (one.generation != 0 && slots_[one.slot].facts.name == backend) {
        auto &it = slots_[one.slot];
        std::erase(it.in_flight, &position->second);
        // Recorded even if the last report does not include it: a later report may have been made while it was running.
        it.finished_since_report.push_back({one.started_at, time_.now(), one.blocks});
        if (it.finished_since_report.size() > internal::max_finished) {
            it.finished_since_report.erase(it.finished_since_report.begin());
        }
        recount(it);
        if (how == outcome::failed) {
            record_failure(it, 1);
        } else if (how == outcome::rejected) {
            record_failure(it, internal::rejection_weight);
        }
    }
    in_flight_.erase(position);
}

std::uint32_t router::outstanding(std::string_view name) const {
    const auto *it = find_slot(name);
    return it == nullptr ? 0 : outstanding_of(*it);
}

std::uint32_t router::free_blocks(std::string_view name) const {
    const auto *it = find_slot(name);
    return it == nullptr ? 0 : free_of(*it);
}

double router::recent_failures(std::string_view name) const {
    const auto *it = find_slot(name);
    return it == nullptr ? 0 : failures_now(*it, time_.now());
}

} // namespace dotterelstack::routing
