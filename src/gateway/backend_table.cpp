#include "gateway/backend_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/seconds.hpp"
#include "gateway/prefix_cache_tracker.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Successes added to the recent attempts, so that a single failure does not give a high failure rate.
constexpr double assumed_successes = 2;
// Window, in samples, of the mean of pending prefill tokens per own request.
constexpr std::uint32_t prefill_samples = 50;
// Fraction of the average load that is assumed at a server without a recent report. A missing report often means that
// the server is idle, since reports come with answers.
constexpr double unreported_load_fraction = 0.25;
// A server is silent after this many times the expected time of a request.
constexpr int silence_factor = 4;

// A report of this age came with the answer that is being read.
constexpr auto same_answer = std::chrono::milliseconds{20};
// Servers within this factor of the usual time are not shown one by one.
constexpr double usual_time_range = 1.2;

struct mean {
    double sum{0};
    double n{0};

    void add(double it) noexcept {
        sum += it;
        n += 1;
    }
    [[nodiscard]] double value() const noexcept { return n > 0 ? sum / n : 0; }
};

} // namespace internal

backend_table::backend_table(const base::clock &time, health_settings settings)
    : time_{time}, settings_{settings}, notices_{time}, pacing_{time} {}

void backend_table::update(const std::vector<backend_server> &all) {
    std::set<std::string_view> seen;
    for (const auto &it : all) {
        seen.insert(it.id);
        const auto [found, is_new] = states_.try_emplace(it.id);
        auto &state = found->second;
        if (is_new || state.facts.incarnation_start_ms != it.incarnation_start_ms ||
            state.facts.address != it.address) {
            state = {};
            state.known_since = time_.now();
            state.id_hash = engine_hash(it.id);
            state.speed.emplace(time_, settings_.speed);
        }
        state.facts = it;
    }
    std::erase_if(states_, [&seen](const auto &it) { return !seen.contains(it.first); });
    notices_.forget_unlisted(seen);
    pacing_.update(all);
    services_.clear();
    for (const auto &[id, it] : states_) {
        services_[it.facts.service].push_back(&it);
    }
    for (auto &it : stages_) {
        it.servers = 0;
        it.own_requests = 0;
    }
    for (const auto &[id, it] : states_) {
        ++totals_of(it).servers;
        totals_of(it).own_requests += it.own_requests;
    }
}

const backend_state *backend_table::find(std::string_view id) const {
    const auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

backend_state *backend_table::find_mutable(std::string_view id) {
    const auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

std::vector<const backend_state *> backend_table::available(std::string_view service) const {
    const auto now = time_.now();
    std::vector<const backend_state *> out;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return out;
    }
    out.reserve(found->second.size());
    for (const auto *it : found->second) {
        const bool paused = it->paused_until && (now < *it->paused_until || it->probing);
        if (accepts(*it) && !paused && open_at(*it) <= now) {
            out.push_back(it);
        }
    }
    return out;
}

bool backend_table::accepts(const backend_state &it) const {
    return !it.facts.draining && !notices_.leaving(it.facts);
}

bool backend_table::pausing(const backend_state &it) const {
    return time_.now() < notices_.pause_end(it.facts);
}

base::instant backend_table::open_at(const backend_state &it) const {
    return std::max(
        {notices_.pause_end(it.facts), notices_.limit_end(it.facts), pacing_.open_at(it.facts.id, it.own_requests)});
}

std::optional<base::duration> backend_table::opens_in(std::string_view service,
                                                      std::span<const std::string> excluded) const {
    std::optional<base::duration> out;
    const auto now = time_.now();
    for (const auto &[id, it] : states_) {
        const bool considered = it.facts.service == service && std::ranges::find(excluded, id) == excluded.end();
        const auto at = considered && accepts(it) ? open_at(it) : now;
        if (at > now) {
            out = std::min<base::duration>(out.value_or(at - now), at - now);
        }
    }
    return out;
}

bool backend_table::any_accepting() const noexcept {
    return std::ranges::any_of(states_, [this](const auto &it) { return accepts(it.second); });
}

void backend_table::running_mean::add(double sample) noexcept {
    samples = std::min(samples + 1, internal::prefill_samples);
    value += (sample - value) / samples;
}

void backend_table::sample_pending_prefill(const backend_state &it) noexcept {
    if (it.own_requests > 0) {
        totals_of(it).pending_prefill.add(it.own_prefill_tokens / it.own_requests);
    }
}

void backend_table::started(std::string_view id, double prefill_tokens, base::duration expected) {
    if (auto *it = find_mutable(id)) {
        it->allowance = std::max(it->own_requests == 0 ? base::duration{0} : it->allowance,
                                 settings_.silence + internal::silence_factor * expected);
        it->heard_due = it->heard_due.value_or(time_.now() + it->allowance);
        sample_pending_prefill(*it);
        totals_of(*it).in_progress.add(totals_of(*it).own_requests);
        ++totals_of(*it).own_requests;
        ++it->own_requests;
        ++it->change_since_report;
        it->own_prefill_tokens += prefill_tokens;
        it->probing = it->paused_until.has_value();
    }
}

void backend_table::heard(std::string_view id) {
    if (auto *it = find_mutable(id)) {
        it->heard_due = time_.now() + it->allowance;
    }
}

bool backend_table::has_free_slot(const backend_state &it) const {
    return outstanding(it) < std::max(1U, it.facts.slots) && it.own_prefill_tokens == 0;
}

void backend_table::on_own_pause(base::duration length) {
    for (auto &[id, it] : states_) {
        if (it.heard_due) {
            *it.heard_due += length;
        }
    }
}

bool backend_table::silent(const backend_state &it) const {
    return it.own_requests > 0 && it.heard_due && time_.now() > *it.heard_due;
}

void backend_table::prefill_done(std::string_view id, double prefill_tokens) {
    if (auto *it = find_mutable(id)) {
        it->own_prefill_tokens = std::max(0.0, it->own_prefill_tokens - prefill_tokens);
    }
}

void backend_table::reported(std::string_view id, const reported_load &load) {
    if (auto *it = find_mutable(id)) {
        it->report = load;
        it->reported_at = time_.now();
        it->change_since_report = 0;
        if (load.work_factor) {
            pacing_.on_shared_host(it->facts.service);
            it->speed->reported(*load.work_factor);
        }
    }
}

double backend_table::decay(const backend_state &it) const {
    return std::exp2(-base::to_seconds(time_.now() - it.decayed_at) / base::to_seconds(settings_.failure_half_life));
}

void backend_table::record_outcome(backend_state &it, double failure) {
    const double kept = decay(it);
    it.failures = it.failures * kept + failure;
    it.attempts = it.attempts * kept + 1;
    it.decayed_at = time_.now();
}

void backend_table::pause(backend_state &it) {
    it.pause = std::clamp(it.pause * 2, settings_.first_pause, settings_.longest_pause);
    it.paused_until = time_.now() + it.pause;
    it.probing = false;
}

void backend_table::ended(std::string_view id, attempt_outcome how, std::optional<base::instant> sent) {
    auto *it = find_mutable(id);
    if (it == nullptr) {
        return;
    }
    if (how == attempt_outcome::answered && it->paused_until) {
        pacing_.on_recovered(it->facts);
    }
    pacing_.on_ended(id, how, sent.value_or(time_.now()));
    if (it->own_requests > 0) {
        --it->own_requests;
        --totals_of(*it).own_requests;
    }
    if (it->own_requests == 0) {
        // Sums of fractions leave a rest.
        it->own_prefill_tokens = 0;
        it->heard_due.reset();
    }
    --it->change_since_report;
    switch (how) {
    case attempt_outcome::answered:
        record_outcome(*it, 0);
        it->pause = {};
        it->paused_until.reset();
        break;
    case attempt_outcome::server_error:
    case attempt_outcome::broken:
    case attempt_outcome::silent:
        record_outcome(*it, 1);
        break;
    case attempt_outcome::misdirected:
    case attempt_outcome::unreachable:
        record_outcome(*it, 1);
        pause(*it);
        break;
    case attempt_outcome::full:
    case attempt_outcome::cancelled:
        break;
    }
    it->probing = false;
}

bool backend_table::has_report(const backend_state &it) const {
    return it.reported_at && time_.now() - *it.reported_at <= settings_.report_max_age;
}

double backend_table::outstanding(const backend_state &it) const {
    if (!has_report(it)) {
        return it.own_requests;
    }
    const auto reported =
        static_cast<double>(it.report.running + it.report.waiting) + static_cast<double>(it.change_since_report);
    return std::max(static_cast<double>(it.own_requests), reported);
}

double backend_table::pending_prefill_tokens(const backend_state &it) const {
    const auto &all = stages_.at(stage_index(it));
    const double assumed = static_cast<double>(all.own_requests) / std::max(1U, all.servers) * (gateways_ - 1) *
                           internal::unreported_load_fraction;
    const double others = has_report(it) ? outstanding(it) - it.own_requests : assumed;
    return it.own_prefill_tokens + std::max(0.0, others) * all.pending_prefill.value;
}

bool backend_table::reports_with_answer(const backend_state &it) const {
    const auto age = report_age(it);
    return age && *age <= internal::same_answer && it.report.work_factor;
}

bool backend_table::was_alone(const backend_state &it) const {
    return reports_with_answer(it) && it.report.running + it.report.waiting <= 1;
}

bool backend_table::was_unqueued(const backend_state &it) const {
    return reports_with_answer(it) && it.report.waiting == 0;
}

double backend_table::usual_others(const backend_state &it) const {
    const auto &all = stages_.at(stage_index(it));
    return all.in_progress.value / std::max(1U, all.servers) * (gateways_ - 1);
}

double backend_table::failure_rate(const backend_state &it) const {
    const double kept = decay(it);
    return it.failures * kept / (it.attempts * kept + internal::assumed_successes);
}

void backend_table::timed(std::string_view id, double ratio, std::optional<base::instant> sent) {
    if (auto *it = find_mutable(id)) {
        pacing_.on_time(id, ratio, sent.value_or(time_.now()));
        it->speed->measured(ratio);
    }
}

void backend_table::settle_speeds() {
    std::map<std::string_view, internal::mean> services;
    for (const auto &[id, it] : states_) {
        services[it.facts.service].add(it.speed->steady().log_time);
    }
    for (auto &[id, it] : states_) {
        it.speed->settle(services[it.facts.service].value());
    }
}

std::vector<std::pair<std::string_view, double>> backend_table::unusual_speeds(std::size_t most) const {
    std::vector<std::pair<std::string_view, double>> out;
    for (const auto &[id, it] : states_) {
        const double time = slowness(it);
        if (out.size() < most && (time < 1 / internal::usual_time_range || time > internal::usual_time_range)) {
            out.emplace_back(id, time);
        }
    }
    return out;
}

speed::speed_record backend_table::measured_speeds() const {
    speed::speed_record out;
    for (const auto &[id, it] : states_) {
        if (const auto own = it.speed->own(); it.speed->shares_host() && own.samples > 0) {
            out.emplace(to_string(incarnation_of(it.facts)), own);
        }
    }
    speed::trim(out);
    return out;
}

void backend_table::on_server_speeds(const server_speeds &told) {
    const auto note_of = [](const speed::speed_record &from, const std::string &name) {
        const auto it = from.find(name);
        return it == from.end() ? speed::speed_note{} : it->second;
    };
    std::map<std::string_view, internal::mean> services;
    for (const auto &[id, it] : states_) {
        services[it.facts.service].add(note_of(told.all, to_string(incarnation_of(it.facts))).log_time);
    }
    for (auto &[id, it] : states_) {
        const auto name = to_string(incarnation_of(it.facts));
        if (told.others.contains(name)) {
            it.speed->shared(note_of(told.others, name));
        }
        const auto all = note_of(told.all, name);
        const double before = it.home.value();
        it.home.update(all, services[it.facts.service].value());
        if (it.home.value() != before) {
            log::write("server_home_weight", {{"server", name},
                                              {"weight", it.home.value()},
                                              {"before", before},
                                              {"log_time", all.log_time},
                                              {"samples", all.samples}});
        }
    }
}

} // namespace dotterelstack::gateway
