#include "bench/support/replay.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>

#include "bench/support/fake_engine.hpp"
#include "bench/support/queue.hpp"
#include "roles/transfer_cost.hpp"

namespace dotterelstack::bench {

namespace internal {

using base::duration;
using base::instant;
using namespace std::chrono_literals;

constexpr int engine_count = 12;
constexpr int domain_count = 3;
constexpr int entry_count = 3;
constexpr double first_token_target = 0.74;
constexpr double gap_target = 0.044;
constexpr double warm_up = 10;
constexpr duration propagation = 300ms;    // Facts about backend servers reach the entries.
constexpr duration failure_notice = 200ms; // A broken connection is noticed.
constexpr duration health_notice = 2s;     // An agent reports its engine as unhealthy.
constexpr duration role_change_time = 6s;  // After the drain.
constexpr duration start_time = 60s;       // From an order to a serving backend server.
constexpr duration cache_event_lag = 1s;
constexpr duration give_up = 10s; // A caller leaves.
constexpr double cache_event_loss = 0.02;
constexpr std::uint32_t long_prompt = 2200;    // A third of a second at a mixed engine.
constexpr double hold_wait = 0.15;             // An entry keeps a request while the wait in engines is longer.
constexpr std::uint32_t hold_outstanding = 60; // Below the batch limit, so that no queue forms in the engine.
constexpr std::uint32_t baseline_window = hold_outstanding / entry_count;
constexpr int max_attempts = 4;

const std::array<std::string, domain_count> domains{"rajkot", "jamnagar", "bhavnagar"};

duration from_seconds(double it) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

double seconds(instant it) {
    return seconds(it.time_since_epoch());
}

struct call {
    const arrival *from{nullptr};
    std::uint32_t produced{0};
    int attempts{0};
    double first_token{-1};
    instant last_token{};
    std::uint32_t gaps{0};
    std::uint32_t long_gaps{0};
    bool ended{false};
    bool completed{false};
    std::vector<std::string> excluded;
};

struct attempt {
    std::size_t call{0};
    int engine{0};
    routing::request_phase phase{routing::request_phase::whole};
    std::uint32_t uncached{0};
    bool open{true};
    bool first{true};
};

struct engine_state {
    fake_engine engine;
    routing::backend_facts facts;
    bool alive{true};
    bool gone{false};
    bool stepping{false};
    int generation{0};
    std::uint32_t transfers{0};
    std::uint64_t report_seq{0};
    std::uint64_t event_seq{0};
    instant paid_from{};
    instant paid_until{};
    std::function<void()> when_idle{};
};

struct view {
    bool usable{true};
    std::uint32_t reported{0};
    std::uint32_t in_flight{0};
};

struct entry_state {
    std::unique_ptr<routing::router> router;
    std::array<std::unique_ptr<request_queue>, 2> lanes; // Short and long prompts.
    std::vector<view> views;
    std::size_t turn{0};
};

class simulation {
public:
    simulation(const workload &load, const policy &rules, std::uint64_t seed)
        : load_{load}, rules_{rules}, random_{seed}, roles_{clock_, rules.roles}, capacity_{clock_,
                                                                                            {.release_after = 60s}} {
        for (const auto &name : domains) {
            capacity_.set_domain(name, 1);
        }
        for (int it = 0; it < entry_count; ++it) {
            entries_.push_back(make_entry(seed * 31 + static_cast<std::uint64_t>(it)));
        }
        for (int it = 0; it < engine_count; ++it) {
            const int kind = it - rules.prefill_engines;
            const auto role = kind < 0                      ? backend_role::prefill
                              : kind < rules.decode_engines ? backend_role::decode
                                                            : backend_role::mixed;
            add_engine(it % domain_count, role);
        }
    }

    replay_result run() {
        calls_.resize(load_.arrivals.size());
        for (std::size_t it = 0; it < load_.arrivals.size(); ++it) {
            calls_[it].from = &load_.arrivals[it];
            at(from_seconds(load_.arrivals[it].at), [this, it] { arrive(it); });
        }
        every(10ms, [this] { dispatch_all(); });
        every(500ms, [this] { send_reports(); });
        every(1s, [this] { plan_roles(); });
        every(5s, [this] { plan_capacity(); });
        if (load_.crash_at >= 0) {
            at(from_seconds(load_.crash_at), [this] { crash_busiest(); });
        }
        if (load_.withdraw_at >= 0) {
            at(from_seconds(load_.withdraw_at), [this] { withdraw(1); });
        }
        const auto end = from_seconds(load_.seconds + 15);
        while (!events_.empty() && events_.top().at <= end) {
            // The queue hands out constant references; the function is moved out before the element is dropped.
            auto next = std::move(const_cast<event &>(events_.top()));
            events_.pop();
            clock_.advance(next.at - clock_.now().time_since_epoch());
            next.run();
        }
        return measure();
    }

private:
    struct event {
        duration at{0};
        std::uint64_t number{0};
        std::function<void()> run;
        bool operator<(const event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void at(duration when, std::function<void()> run) { events_.push({when, number_++, std::move(run)}); }
    void after(duration wait, std::function<void()> run) { at(clock_.now().time_since_epoch() + wait, std::move(run)); }
    void every(duration period, const std::function<void()> &run) {
        after(period, [this, period, run] {
            run();
            every(period, run);
        });
    }

    entry_state make_entry(std::uint64_t seed) {
        entry_state it;
        it.router = std::make_unique<routing::router>(
            clock_, [engine = std::mt19937_64{seed}]() mutable { return engine(); }, rules_.routing);
        for (auto &lane : it.lanes) {
            lane = rules_.fair ? std::unique_ptr<request_queue>{std::make_unique<fair_queue>()}
                               : std::make_unique<fifo_queue>();
        }
        return it;
    }

    int add_engine(int domain, backend_role role) {
        const auto n = static_cast<int>(engines_.size());
        engines_.push_back({.engine = fake_engine{rates_},
                            .facts = {.name = "e" + std::to_string(n),
                                      .incarnation = "0",
                                      .failure_domain = domains[static_cast<std::size_t>(domain)],
                                      .service = "drafting",
                                      .models = {"m"},
                                      .role = role,
                                      .total_blocks = rates_.total_blocks,
                                      .block_tokens = rates_.block_tokens},
                            .paid_from = clock_.now()});
        publish_now(n);
        return n;
    }

    void publish_now(int n) {
        const auto &it = engines_[static_cast<std::size_t>(n)];
        for (auto &entry : entries_) {
            entry.views.resize(engines_.size());
            entry.views[static_cast<std::size_t>(n)].usable = it.facts.healthy && !it.facts.leaving && !it.gone;
            if (it.gone) {
                entry.router->remove_backend(it.facts.name);
            } else {
                entry.router->update_backend(it.facts);
            }
        }
    }

    void publish(int n, duration wait = propagation) {
        after(wait, [this, n] { publish_now(n); });
    }

    engine_state &engine(int n) { return engines_[static_cast<std::size_t>(n)]; }
    entry_state &entry_of(const call &it) { return entries_[static_cast<std::size_t>(it.from->entry)]; }

    void arrive(std::size_t n) {
        auto &it = calls_[n];
        auto &lane = entry_of(it).lanes[it.from->prompt > long_prompt ? 1 : 0];
        lane->push(n, it.from->organisation);
        dispatch(entry_of(it), *lane);
    }

    /** Demand is counted when a request is admitted: what fair queueing holds back must not turn engines over. */
    void count_demand(const call &it, std::uint32_t uncached) {
        if (uncached > long_prompt) {
            demand_.long_requests += 1;
            demand_.long_prefill += uncached;
            demand_.long_decode += it.from->output;
        } else {
            demand_.short_requests += 1;
            demand_.short_prefill += uncached;
            demand_.short_decode += it.from->output;
        }
    }

    [[nodiscard]] routing::route_request request_of(const call &it, routing::request_phase phase) const {
        return {.service = "drafting",
                .model = "m",
                .prefix_blocks = it.from->blocks,
                .prompt_tokens = it.from->prompt + it.produced,
                .max_tokens = it.from->output - it.produced,
                .failure_domain = domains[static_cast<std::size_t>(it.from->entry)],
                .excluded = it.excluded,
                .phase = phase};
    }

    void dispatch_all() {
        for (auto &it : entries_) {
            for (auto &lane : it.lanes) {
                dispatch(it, *lane);
            }
        }
    }

    void dispatch(entry_state &from, request_queue &lane) {
        while (!lane.empty()) {
            const auto n = lane.front();
            auto &it = calls_[n];
            if (clock_.now().time_since_epoch() - from_seconds(it.from->at) > give_up) {
                it.ended = true;
                lane.pop();
                continue;
            }
            if (!place(from, n)) {
                return;
            }
            lane.pop();
            lane.charge(it.from->organisation, it.from->prompt + 4.0 * it.from->output);
        }
    }

    bool place(entry_state &from, std::size_t n) {
        auto &it = calls_[n];
        if (rules_.pick != pick_rule::router) {
            const auto chosen = pick_baseline(from, it);
            if (chosen >= 0) {
                send(n, chosen, request_of(it, routing::request_phase::whole), it.from->prompt);
            }
            return chosen >= 0;
        }
        const bool slow = it.from->prompt + it.produced > long_prompt;
        auto request = request_of(it, slow ? routing::request_phase::prefill : routing::request_phase::whole);
        const auto found = from.router->choose(request);
        if (found.has_error()) {
            return false;
        }
        const auto &best = found.value();
        const auto uncached = request.prompt_tokens > best.hit_tokens ? request.prompt_tokens - best.hit_tokens : 0;
        if (seconds(best.queue_wait) > hold_wait || from.router->outstanding(best.backend->name) >= hold_outstanding) {
            return false;
        }
        if (best.backend->role != backend_role::prefill) {
            request.phase = routing::request_phase::whole;
        }
        count_demand(it, uncached);
        send(n, std::stoi(best.backend->name.substr(1)), request, uncached);
        return true;
    }

    int pick_baseline(entry_state &from, const call &it) {
        int best = -1;
        const auto n = from.views.size();
        for (std::size_t step = 0; step < n; ++step) {
            const auto which = (from.turn + step) % n;
            const auto &view = from.views[which];
            const auto &name = engines_[which].facts.name;
            const bool excluded = std::find(it.excluded.begin(), it.excluded.end(), name) != it.excluded.end();
            if (!view.usable || excluded || view.in_flight >= baseline_window) {
                continue;
            }
            if (rules_.pick == pick_rule::round_robin) {
                from.turn = which + 1;
                return static_cast<int>(which);
            }
            if (best < 0 || view.reported < from.views[static_cast<std::size_t>(best)].reported) {
                best = static_cast<int>(which);
            }
        }
        from.turn = rules_.pick == pick_rule::least_reported ? 0 : from.turn;
        return best;
    }

    std::size_t open_attempt(std::size_t n, int where, const routing::route_request &request, std::uint32_t uncached) {
        auto &it = calls_[n];
        ++it.attempts;
        const auto id = attempts_.size();
        attempts_.push_back({.call = n, .engine = where, .phase = request.phase, .uncached = uncached});
        auto &from = entry_of(it);
        from.router->started(std::to_string(id), engine(where).facts.name, request);
        ++from.views[static_cast<std::size_t>(where)].in_flight;
        return id;
    }

    void send(std::size_t n, int where, const routing::route_request &request, std::uint32_t uncached,
              duration wait = duration{0}, bool state_moved = false) {
        const auto id = open_attempt(n, where, request, uncached);
        const auto &it = calls_[n];
        const bool local = engine(where).facts.failure_domain == domains[static_cast<std::size_t>(it.from->entry)];
        const engine_job job{.id = id,
                             .prompt = request.prompt_tokens,
                             .output = request.phase == routing::request_phase::prefill ? 1 : request.max_tokens,
                             .blocks = it.from->blocks,
                             .state_moved = state_moved};
        after(wait + (local ? 500us : 1500us), [this, where, job] {
            auto &to = engine(where);
            if (!to.alive || to.gone) {
                after(failure_notice, [this, job] { fail(job.id); });
                return;
            }
            to.engine.submit(job);
            kick(where);
        });
    }

    void kick(int n) {
        auto &it = engine(n);
        if (it.stepping || !it.alive || it.gone) {
            return;
        }
        const auto wait = it.engine.begin_step(it.facts.role);
        if (wait == duration{0}) {
            return;
        }
        it.stepping = true;
        after(wait, [this, n, generation = it.generation] {
            auto &same = engine(n);
            if (same.generation != generation) {
                return;
            }
            same.stepping = false;
            for (const auto &token : same.engine.end_step()) {
                on_token(token);
            }
            send_cache_events(n);
            kick(n);
            check_idle(n);
        });
    }

    void check_idle(int n) {
        auto &it = engine(n);
        if (it.when_idle && it.engine.idle()) {
            const auto run = std::exchange(it.when_idle, nullptr);
            run();
        }
    }

    void close(std::size_t id, routing::outcome how) {
        auto &one = attempts_[id];
        one.open = false;
        auto &from = entry_of(calls_[one.call]);
        from.router->finished(std::to_string(id), engine(one.engine).facts.name, how);
        --from.views[static_cast<std::size_t>(one.engine)].in_flight;
    }

    void on_token(const engine_event &token) {
        auto &one = attempts_[token.id];
        if (!one.open) {
            return;
        }
        auto &it = calls_[one.call];
        const auto now = clock_.now();
        if (one.first) {
            entry_of(it).router->progress(std::to_string(token.id));
            one.first = false;
        }
        if (it.first_token < 0) {
            it.first_token = seconds(now) + 0.001 - it.from->at;
        } else {
            ++it.gaps;
            it.long_gaps += seconds(now - it.last_token) > gap_target ? 1 : 0;
        }
        it.last_token = now;
        ++it.produced;
        if (it.produced >= it.from->output) {
            it.ended = it.completed = true;
        }
        if (token.last) {
            const bool hand_over = one.phase == routing::request_phase::prefill && !it.completed;
            const auto source = one.engine;
            const auto uncached = one.uncached;
            const auto n = one.call;
            close(token.id, routing::outcome::completed);
            if (hand_over) {
                continue_elsewhere(n, source, uncached);
            }
        }
    }

    void continue_elsewhere(std::size_t n, int source, std::uint32_t uncached) {
        auto &it = calls_[n];
        auto request = request_of(it, routing::request_phase::decode);
        request.failure_domain = engine(source).facts.failure_domain;
        request.only_failure_domain = true;
        auto &from = entry_of(it);
        auto found = from.router->choose(request);
        if (found.has_error() || found.value().backend->role == backend_role::prefill) {
            request = request_of(it, routing::request_phase::whole);
            found = from.router->choose(request);
        }
        if (found.has_error()) {
            after(50ms, [this, n, source, uncached] { continue_elsewhere(n, source, uncached); });
            return;
        }
        ++hand_overs_;
        const auto &best = found.value();
        const auto where = std::stoi(best.backend->name.substr(1));
        const auto plan = roles::plan_transfer(
            rules_.transfer,
            {.held_tokens = it.from->prompt,
             .hit_tokens = best.hit_tokens,
             .active_transfers = std::max(engine(source).transfers, engine(where).transfers),
             .overlap = from_seconds(uncached / rates_.prefill_tokens_per_second),
             .prefill_backlog = best.queue_wait,
             .same_failure_domain = best.backend->failure_domain == engine(source).facts.failure_domain});
        if (plan.choice == roles::transfer_choice::recompute) {
            request.phase = routing::request_phase::whole;
            send(n, where, request, request.prompt_tokens);
            return;
        }
        ++moved_;
        ++engine(source).transfers;
        ++engine(where).transfers;
        after(plan.expected, [this, source, where] {
            --engine(source).transfers;
            --engine(where).transfers;
        });
        send(n, where, request, 0, plan.expected, true);
    }

    void fail(std::size_t id) {
        auto &one = attempts_[id];
        if (!one.open) {
            return;
        }
        close(id, routing::outcome::failed);
        retry(one.call, engine(one.engine).facts.name);
    }

    void retry(std::size_t n, const std::string &failed) {
        auto &it = calls_[n];
        it.excluded.push_back(failed);
        if (it.attempts >= max_attempts) {
            it.ended = true;
        } else if (!place(entry_of(it), n)) {
            after(50ms, [this, n] { replace_later(n); });
        }
    }

    void replace_later(std::size_t n) {
        if (!place(entry_of(calls_[n]), n)) {
            after(50ms, [this, n] { replace_later(n); });
        }
    }

    void send_reports() {
        const auto lag = from_seconds(load_.report_lag);
        for (std::size_t n = 0; n < engines_.size(); ++n) {
            auto &it = engines_[n];
            if (!it.alive || it.gone) {
                continue;
            }
            auto report = it.engine.report();
            report.seq = ++it.report_seq;
            report.age = lag;
            after(lag, [this, n, report, generation = it.generation] {
                if (engines_[n].generation != generation) {
                    return;
                }
                for (auto &entry : entries_) {
                    entry.router->apply_report(engines_[n].facts.name, report);
                    entry.views[n].reported = report.running + report.queued;
                }
            });
        }
    }

    void send_cache_events(int n) {
        auto &it = engine(n);
        for (const auto &change : it.engine.take_cache_changes()) {
            const auto seq = ++it.event_seq;
            if (std::uniform_real_distribution<double>{}(random_) < cache_event_loss) {
                continue;
            }
            after(cache_event_lag, [this, n, change, seq, generation = it.generation] {
                if (engine(n).generation != generation) {
                    return;
                }
                using kind = routing::cache_event::kind;
                const routing::cache_event changed{seq, change.stored ? kind::stored : kind::evicted,
                                                   std::span{&change.block, 1}};
                for (auto &entry : entries_) {
                    entry.router->apply_cache_event(engine(n).facts.name, changed);
                }
            });
        }
    }

    void crash_busiest() {
        int worst = 0;
        for (int n = 0; n < static_cast<int>(engines_.size()); ++n) {
            worst = engine(n).engine.report().running > engine(worst).engine.report().running ? n : worst;
        }
        auto &it = engine(worst);
        it.alive = false;
        it.stepping = false;
        ++it.generation;
        it.facts.healthy = false;
        for (const auto id : it.engine.crash()) {
            after(failure_notice, [this, id] { fail(id); });
        }
        publish(worst, health_notice);
        after(from_seconds(load_.crash_seconds), [this, worst] {
            auto &same = engine(worst);
            same.alive = true;
            same.report_seq = same.event_seq = 0;
            same.facts.healthy = true;
            same.facts.incarnation = std::to_string(same.generation);
            publish(worst);
        });
    }

    void retire(int n) {
        auto &it = engine(n);
        it.gone = true;
        it.paid_until = clock_.now();
        roles_.remove_engine(it.facts.name);
        capacity_.remove_backend(it.facts.name);
        publish(n);
    }

    /** Runs after the leaving engine has finished its work and the entries know that it leaves. */
    void drain(int n, std::function<void()> then) {
        engine(n).facts.leaving = true;
        publish(n);
        after(2 * propagation, [this, n, then = std::move(then)] {
            engine(n).when_idle = then;
            check_idle(n);
        });
    }

    void withdraw(int domain) {
        capacity_.set_domain(domains[static_cast<std::size_t>(domain)], 1, false);
        for (int n = 0; n < static_cast<int>(engines_.size()); ++n) {
            if (engine(n).facts.failure_domain == domains[static_cast<std::size_t>(domain)]) {
                drain(n, [this, n] { retire(n); });
            }
        }
    }

    std::uint32_t work_at(int n) {
        const auto report = engine(n).engine.report();
        return report.running + report.queued;
    }

    void plan_roles() {
        const auto second = std::exchange(demand_, {});
        busy_ += 0.05 * (std::max((second.long_prefill + second.short_prefill) / rules_.roles.mixed_prefill_rate,
                                  (second.long_decode + second.short_decode) / rules_.roles.mixed_decode_rate) -
                         busy_);
        if (!rules_.plan_roles) {
            return;
        }
        for (int n = 0; n < static_cast<int>(engines_.size()); ++n) {
            const auto &it = engine(n);
            if (!it.gone) {
                roles_.update_engine({.name = it.facts.name,
                                      .failure_domain = it.facts.failure_domain,
                                      .role = it.facts.role,
                                      .outstanding = work_at(n),
                                      .available = it.facts.healthy && !it.facts.leaving});
            }
        }
        roles_.set_demand(second);
        for (const auto &change : roles_.decide()) {
            const auto n = std::stoi(change.backend.substr(1));
            ++role_changes_;
            drain(n, [this, n, change] {
                after(role_change_time, [this, n, change] {
                    engine(n).facts.role = change.to;
                    engine(n).facts.leaving = false;
                    roles_.settled(change.backend, roles::change_outcome::done);
                    publish(n);
                });
            });
        }
    }

    void plan_capacity() {
        if (!rules_.plan_capacity) {
            return;
        }
        for (int n = 0; n < static_cast<int>(engines_.size()); ++n) {
            const auto &it = engine(n);
            const bool leaving = it.facts.leaving && !capacity_.busy(it.facts.name) && !roles_.busy(it.facts.name);
            if (!it.gone) {
                capacity_.update_backend({.name = it.facts.name,
                                          .failure_domain = it.facts.failure_domain,
                                          .outstanding = work_at(n),
                                          .healthy = it.facts.healthy && !leaving,
                                          .busy = roles_.busy(it.facts.name)});
            }
        }
        capacity_.set_demand(busy_);
        for (const auto &action : capacity_.decide()) {
            execute(action);
        }
    }

    void execute(const roles::capacity_action &action) {
        using kind = roles::capacity_action::kind;
        if (action.what == kind::start) {
            const auto ordered = clock_.now();
            after(start_time, [this, action, ordered] {
                const auto domain = std::find(domains.begin(), domains.end(), action.failure_domain) - domains.begin();
                const auto n = add_engine(static_cast<int>(domain), backend_role::mixed);
                engine(n).paid_from = ordered;
                capacity_.update_backend({.name = engine(n).facts.name, .failure_domain = action.failure_domain});
                capacity_.order_settled(action.order, roles::order_outcome::done);
            });
            return;
        }
        const auto n = std::stoi(action.backend.substr(1));
        if (action.what == kind::stop) {
            // Work that was sent before the entries knew of the drain is finished first.
            after(2 * propagation, [this, n, action] {
                engine(n).when_idle = [this, n, action] {
                    retire(n);
                    capacity_.order_settled(action.order, roles::order_outcome::done);
                };
                check_idle(n);
            });
            return;
        }
        engine(n).facts.leaving = action.what == kind::drain;
        publish(n);
    }

    replay_result measure() {
        replay_result out{.role_changes = role_changes_, .hand_overs = hand_overs_, .moved = moved_};
        std::array<double, organisation_count> offered{};
        std::array<double, organisation_count> good{};
        std::vector<double> first;
        double completed = 0;
        int n_good = 0;
        int n_gaps = 0;
        for (const auto &it : calls_) {
            if (it.from->at < warm_up) {
                continue;
            }
            const auto who = static_cast<std::size_t>(it.from->organisation);
            const double tokens = it.from->prompt + it.from->output;
            offered[who] += tokens;
            completed += it.completed ? tokens : 0;
            first.push_back(it.first_token < 0 ? std::numeric_limits<double>::infinity() : it.first_token);
            const bool gaps_kept = it.completed && it.long_gaps <= 0.05 * it.gaps;
            const bool kept = gaps_kept && it.first_token <= first_token_target;
            n_gaps += gaps_kept ? 1 : 0;
            n_good += kept ? 1 : 0;
            good[who] += kept ? tokens : 0;
        }
        std::sort(first.begin(), first.end());
        const auto n = static_cast<double>(first.size());
        out.goodput = n_good / n;
        out.gaps_kept = n_gaps / n;
        out.first_token_p95 = first[static_cast<std::size_t>(n * 0.95)];
        out.worst_service = worst_service(offered, good, completed);
        double paid = 0;
        double tokens = 0;
        for (const auto &it : engines_) {
            paid += seconds((it.gone ? it.paid_until : clock_.now()) - it.paid_from);
        }
        for (const auto it : good) {
            tokens += it;
        }
        out.engine_seconds = paid / tokens * 1e6;
        return out;
    }

    /** The fair share is what an organisation asks for, at most an eighth of the completed tokens. */
    static double worst_service(const std::array<double, organisation_count> &offered,
                                const std::array<double, organisation_count> &good, double completed) {
        double worst = 1;
        for (std::size_t it = 0; it < offered.size(); ++it) {
            worst = std::min(worst, good[it] / std::min(offered[it], completed / organisation_count));
        }
        return worst;
    }

    const workload &load_;
    const policy &rules_;
    engine_rates rates_{};
    base::manual_clock clock_;
    std::mt19937_64 random_;
    std::priority_queue<event> events_;
    std::uint64_t number_{0};
    std::deque<engine_state> engines_;
    std::vector<entry_state> entries_;
    std::vector<call> calls_;
    std::deque<attempt> attempts_;
    roles::role_planner roles_;
    roles::capacity_planner capacity_;
    roles::role_demand demand_{};
    double busy_{0};
    int role_changes_{0};
    int hand_overs_{0};
    int moved_{0};
};

} // namespace internal

replay_result replay(const workload &load, const policy &rules, std::uint64_t seed) {
    return internal::simulation{load, rules, seed}.run();
}

} // namespace dotterelstack::bench
