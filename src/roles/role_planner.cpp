#include "roles/role_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/seconds.hpp"

namespace dotterelstack::roles {

namespace internal {

constexpr std::array engine_roles{backend_role::mixed, backend_role::prefill, backend_role::decode};

constexpr std::array demand_fields{&role_demand::long_requests, &role_demand::long_prefill,
                                   &role_demand::long_decode,   &role_demand::short_requests,
                                   &role_demand::short_prefill, &role_demand::short_decode};

constexpr std::size_t index(backend_role role) noexcept {
    return static_cast<std::size_t>(role);
}

// Index of a pair of roles: mixed and prefill, mixed and decode, or prefill and decode, in either order.
constexpr std::size_t role_pair_index(backend_role a, backend_role b) noexcept {
    return index(a) + index(b) - 1;
}

double share(double part, double whole) noexcept {
    return whole > 0 ? part / whole : (part > 0 ? 2.0 : 0.0);
}

// The demand itself, and the demand shifted between long and short prompts and between prefill and decode.
std::array<role_demand, 5> shifted_demands(const role_demand &demand, double margin) noexcept {
    std::array<role_demand, 5> out{};
    out.fill(demand);
    const auto more = 1 + margin;
    const auto less = 1 - margin;
    const auto scale = [](role_demand &it, double long_factor, double short_factor) {
        for (std::size_t field = 0; field < demand_fields.size(); ++field) {
            it.*demand_fields[field] *= field < 3 ? long_factor : short_factor;
        }
    };
    const auto skew = [](role_demand &it, double prefill, double decode) {
        it.long_prefill *= prefill;
        it.short_prefill *= prefill;
        it.long_decode *= decode;
        it.short_decode *= decode;
    };
    scale(out[1], more, less);
    scale(out[2], less, more);
    skew(out[3], more, less);
    skew(out[4], less, more);
    return out;
}

// Slope of the estimates when all requests already miss the targets. It is small but not 0, so that the first of
// several changes that are only sufficient together still shows a gain.
constexpr double overload_slope = 0.1;

// Share of requests that wait to join a batch: grows from 0 at the target utilisation to 1 at full utilisation.
double batch_wait_share(double load, double target) noexcept {
    const auto share = std::max(0.0, (load - target) / (1 - target));
    return share <= 1 ? share : 1 + overload_slope * (share - 1);
}

// Mean wait at one of several engines at utilisation `load`. The value lies between that of one shared queue and that
// of separate queues, because a router with delayed reports finds an idle engine often, but not always.
double mean_wait(double load, double service) noexcept {
    return service * load * load / (1 - load);
}

// Share of the requests whose wait exceeds the time that the target leaves after their own service. Waits are assumed
// to be exponentially distributed, and prompt lengths are represented by three values around their mean.
double late_share(double load, double mean_service, double own_service, double target) noexcept {
    if (load >= 1) {
        return 1 + overload_slope * (load - 1);
    }
    const auto wait = mean_wait(load, mean_service);
    double sum = 0;
    for (const auto spread : {0.65, 1.0, 1.35}) {
        const auto slack = target - spread * own_service;
        sum += slack <= 0 ? 1 : (wait > 0 ? std::exp(-slack / wait) : 0);
    }
    return sum / 3;
}

} // namespace internal

role_planner::role_planner(const base::clock &time, role_settings settings) : time_{time}, settings_{settings} {}

void role_planner::update_engine(const role_engine &facts) {
    auto &it = engines_[facts.name];
    const auto role = it.state == change_state::none ? facts.role : it.facts.role;
    it.facts = facts;
    it.facts.role = role;
}

void role_planner::set_demand(const role_demand &demand) noexcept {
    const auto now = time_.now();
    const auto constant = base::to_seconds(settings_.smoothing);
    const auto weight =
        has_demand_ && constant > 0 ? 1 - std::exp(-base::to_seconds(now - demand_at_) / constant) : 1.0;
    for (const auto field : internal::demand_fields) {
        demand_.*field += weight * (demand.*field - demand_.*field);
    }
    demand_at_ = now;
    has_demand_ = true;
}

void role_planner::remove_engine(std::string_view name) {
    if (const auto it = engines_.find(name); it != engines_.end()) {
        engines_.erase(it);
    }
}

bool role_planner::busy(std::string_view backend) const {
    const auto it = engines_.find(backend);
    return it != engines_.end() && it->second.state != change_state::none;
}

double role_planner::expected_misses(const role_counts &engines) const noexcept {
    return expected_misses(engines, demand_);
}

double role_planner::expected_misses(const role_counts &engines, const role_demand &demand) const noexcept {
    // The router balances long prompts between prefill and mixed engines; the best of eleven splits approximates that.
    constexpr int splits = 10;
    double best = misses_with_split(engines, demand, 0);
    const bool splittable = engines[internal::index(backend_role::prefill)] > 0 && demand.long_prefill > 0;
    for (int it = 1; splittable && it <= splits; ++it) {
        best = std::min(best, misses_with_split(engines, demand, static_cast<double>(it) / splits));
    }
    return best;
}

double role_planner::misses_with_split(const role_counts &engines, const role_demand &demand,
                                       double moved_share) const noexcept {
    using internal::index;
    using internal::late_share;
    using internal::share;
    const double prefill = engines[index(backend_role::prefill)];
    const double mixed = engines[index(backend_role::mixed)];
    const double decode = engines[index(backend_role::decode)];
    const auto target = settings_.first_token_target;
    // The link on which a prefill engine transfers its KV cache may limit its rate.
    const auto prefill_rate = std::min(settings_.prefill_engine_rate, settings_.transfer_rate);
    const auto moved = demand.long_prefill * moved_share;
    const auto long_prompt = demand.long_requests > 0 ? demand.long_prefill / demand.long_requests : 0;
    const auto short_prompt = demand.short_requests > 0 ? demand.short_prefill / demand.short_requests : 0;
    const auto moved_service = long_prompt / prefill_rate;
    const auto moved_late =
        moved > 0 ? late_share(moved / (prefill * prefill_rate), moved_service, moved_service, target) : 0;
    // The other long prompts and all short ones share the mixed engines.
    const auto rest = demand.long_requests * (1 - moved_share);
    const auto tokens = demand.short_prefill + demand.long_prefill - moved;
    const auto load = share(tokens, mixed * settings_.mixed_prefill_rate);
    const auto service = share(tokens, rest + demand.short_requests) / settings_.mixed_prefill_rate;
    const auto late = [&](double prompt) {
        return late_share(load, service, prompt / settings_.mixed_prefill_rate, target);
    };
    // Decode engines produce the responses to moved prompts, up to their capacity.
    const auto decoded = std::min(demand.long_decode * moved_share,
                                  decode * settings_.decode_engine_rate * settings_.decode_utilisation);
    // A mixed engine decodes faster in steps without prefill work.
    const auto busy = std::min(1.0, load);
    const auto mixed_decode_rate = 1 / ((1 - busy) / settings_.decode_engine_rate + busy / settings_.mixed_decode_rate);
    const auto decode_load = share(demand.short_decode + demand.long_decode - decoded, mixed * mixed_decode_rate);
    const auto batch_wait = internal::batch_wait_share(decode_load, settings_.decode_utilisation);
    return demand.long_requests * moved_share * moved_late + rest * late(long_prompt) +
           demand.short_requests * late(short_prompt) + (demand.long_requests + demand.short_requests) * batch_wait;
}

role_planner::role_counts role_planner::serving_now() const noexcept {
    role_counts n{};
    for (const auto &[name, it] : engines_) {
        if (it.state == change_state::none && it.facts.available && it.facts.role != backend_role::plain) {
            ++n[internal::index(it.facts.role)];
        }
    }
    return n;
}

role_planner::role_counts role_planner::serving_after() const noexcept {
    auto n = serving_now();
    for (const auto &[name, it] : engines_) {
        // An engine whose change has an unknown outcome is not counted until its state has been read.
        if (it.state == change_state::pending) {
            ++n[internal::index(it.target)];
        }
    }
    return n;
}

role_planner::candidate_change role_planner::evaluate(backend_role from, backend_role to,
                                                      const role_demand &demand) const noexcept {
    const auto now = serving_now();
    const auto after = serving_after();
    auto absent = now;
    --absent[internal::index(from)];
    auto changed = after;
    --changed[internal::index(from)];
    ++changed[internal::index(to)];
    const auto unavailable_time = base::to_seconds(settings_.change_time);
    const auto saved = expected_misses(after, demand) - expected_misses(changed, demand);
    const auto lost = expected_misses(absent, demand) - expected_misses(now, demand);
    const auto gain = saved * (base::to_seconds(settings_.horizon) - unavailable_time);
    const auto cost = std::max(0.0, lost) * unavailable_time + settings_.fixed_cost;
    return {from, to, gain > settings_.gain_factor * cost ? gain - cost : 0.0};
}

std::vector<role_planner::candidate_change> role_planner::worthwhile_changes() const {
    const auto now = serving_now();
    const auto after = serving_after();
    const auto scenarios = internal::shifted_demands(demand_, settings_.demand_margin);
    std::vector<candidate_change> found;
    for (const auto from : internal::engine_roles) {
        for (const auto to : internal::engine_roles) {
            if (from == to || now[internal::index(from)] == 0 || after[internal::index(from)] == 0) {
                continue;
            }
            const bool robust = std::all_of(scenarios.begin(), scenarios.end(),
                                            [&](const auto &it) { return evaluate(from, to, it).gain > 0; });
            if (robust) {
                found.push_back(evaluate(from, to, demand_));
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) { return a.gain > b.gain; });
    return found;
}

std::uint32_t role_planner::changing_in(std::string_view domain) const noexcept {
    return static_cast<std::uint32_t>(std::count_if(engines_.begin(), engines_.end(), [&](const auto &it) {
        return it.second.state != change_state::none && it.second.facts.failure_domain == domain;
    }));
}

bool role_planner::reversed_recently(const candidate_change &change) const {
    const auto &last = last_changes_[internal::role_pair_index(change.from, change.to)];
    return last.used && last.to == change.from && time_.now() - last.at < settings_.min_reversal_time;
}

bool role_planner::may_change(const engine &it, const candidate_change &change) const {
    return it.state == change_state::none && it.facts.available && it.facts.role == change.from &&
           (!it.ever_changed || time_.now() - it.changed_at >= settings_.min_role_time) &&
           changing_in(it.facts.failure_domain) < settings_.changes_per_domain;
}

role_planner::engine *role_planner::choose_engine(const candidate_change &change) {
    engine *best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t> best_rank{};
    for (auto &[name, it] : engines_) {
        if (!may_change(it, change)) {
            continue;
        }
        // KV caches move only within a failure domain, so the roles are spread evenly over the domains. Among equals,
        // choose the engine with the fewest requests, which drains first.
        std::uint32_t same_role = 0;
        for (const auto &[other, peer] : engines_) {
            const auto role = peer.state == change_state::pending ? peer.target : peer.facts.role;
            same_role += peer.facts.failure_domain == it.facts.failure_domain && role == change.to ? 1 : 0;
        }
        const std::tuple rank{same_role, it.facts.outstanding};
        if (best == nullptr || rank < best_rank) {
            best = &it;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<role_change> role_planner::decide() {
    const auto now = time_.now();
    std::vector<role_change> out;
    while (out.size() < engines_.size()) {
        engine *chosen = nullptr;
        candidate_change change;
        for (const auto &it : worthwhile_changes()) {
            chosen = reversed_recently(it) ? nullptr : choose_engine(it);
            if (chosen != nullptr) {
                change = it;
                break;
            }
        }
        if (chosen == nullptr) {
            break;
        }
        chosen->state = change_state::pending;
        chosen->target = change.to;
        chosen->changed_at = now;
        chosen->ever_changed = true;
        last_changes_[internal::role_pair_index(change.from, change.to)] = {.used = true, .to = change.to, .at = now};
        out.push_back({chosen->facts.name, change.from, change.to, change.gain});
    }
    return out;
}

void role_planner::settled(std::string_view backend, change_outcome outcome) {
    const auto found = engines_.find(backend);
    if (found == engines_.end() || found->second.state != change_state::pending) {
        return;
    }
    auto &it = found->second;
    it.state = outcome == change_outcome::unknown ? change_state::unknown : change_state::none;
    if (outcome == change_outcome::done) {
        it.facts.role = it.target;
    }
    it.changed_at = time_.now();
}

void role_planner::resolved(std::string_view backend, backend_role role) {
    const auto found = engines_.find(backend);
    if (found == engines_.end() || found->second.state != change_state::unknown) {
        return;
    }
    found->second.state = change_state::none;
    found->second.facts.role = role;
    found->second.changed_at = time_.now();
}

} // namespace dotterelstack::roles
