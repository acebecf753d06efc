#include "roles/role_planner.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace dotterelstack;
using namespace dotterelstack::roles;
using namespace std::chrono_literals;

namespace {

void add_engines(role_planner &planner, int n) {
    for (int it = 0; it < n; ++it) {
        planner.update_engine(
            {.name = "e" + std::to_string(it), .failure_domain = std::string(1, static_cast<char>('a' + it % 3))});
    }
}

/** Demand of `rate` requests per second, of which `share` have long prompts. */
role_demand demand(double rate, double share) {
    const auto slow = rate * share;
    const auto fast = rate - slow;
    return {slow, slow * 4000, slow * 150, fast, fast * 500, fast * 150};
}

} // namespace

// Guards against oscillation: if the demand is steady apart from noise, the planner must stop ordering changes.
TEST_CASE("noise around a steady demand never causes an endless sequence of changes") {
    CHECK(rc::check("no oscillation", [] {
        base::manual_clock clock;
        role_planner planner{clock};
        add_engines(planner, 12);
        const auto rate = *rc::gen::inRange(5, 60);
        const auto share = *rc::gen::inRange(0, 100) / 100.0;
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        std::uniform_real_distribution<double> noise{0.85, 1.15};
        int late = 0;
        for (int second = 0; second < 1800; ++second) {
            planner.set_demand(demand(rate * noise(random), share * noise(random)));
            for (const auto &it : planner.decide()) {
                late += second >= 900 ? 1 : 0;
                planner.settled(it.backend, change_outcome::done);
            }
            clock.advance(1s);
        }
        // The planner may settle in the first half; after that it may make at most one correction per role.
        RC_ASSERT(late <= 3);
    }));
}

// Guards against an order for an engine with a pending change or an unknown outcome or that is leaving, and against two
// engines of one failure domain that change at the same time.
TEST_CASE("orders respect pending changes, unknown outcomes, leaving engines and the limit per domain") {
    CHECK(rc::check("order rules", [] {
        base::manual_clock clock;
        role_planner planner{clock};
        add_engines(planner, 9);
        std::set<std::string> open;
        std::set<std::string> leaving;
        const auto n = *rc::gen::inRange(1, 150);
        for (int it = 0; it < n; ++it) {
            clock.advance(std::chrono::seconds{*rc::gen::inRange(0, 60)});
            planner.set_demand(demand(*rc::gen::inRange(0, 80), *rc::gen::inRange(0, 101) / 100.0));
            const auto which = *rc::gen::inRange(0, 9);
            const auto name = "e" + std::to_string(which);
            const auto what = *rc::gen::inRange(0, 5);
            if (what == 0) {
                const bool available = *rc::gen::arbitrary<bool>();
                planner.update_engine({.name = name,
                                       .failure_domain = std::string(1, static_cast<char>('a' + which % 3)),
                                       .available = available});
                available ? leaving.erase(name) : leaving.insert(name).second;
            } else if (what < 3 && open.contains(name)) {
                const auto how =
                    *rc::gen::element(change_outcome::done, change_outcome::rejected, change_outcome::unknown);
                planner.settled(name, how);
                if (how != change_outcome::unknown && !planner.busy(name)) {
                    open.erase(name);
                }
            } else if (what == 3) {
                planner.resolved(name, backend_role::mixed);
                if (!planner.busy(name)) {
                    open.erase(name);
                }
            }
            for (const auto &order : planner.decide()) {
                RC_ASSERT(!open.contains(order.backend));
                RC_ASSERT(!leaving.contains(order.backend));
                RC_ASSERT(order.from != order.to);
                RC_ASSERT(planner.busy(order.backend));
                const auto domain = std::stoi(order.backend.substr(1)) % 3;
                RC_ASSERT(std::none_of(open.begin(), open.end(),
                                       [&](const auto &other) { return std::stoi(other.substr(1)) % 3 == domain; }));
                open.insert(order.backend);
            }
        }
    }));
}

// Guards against a first change that is not the best one, and against one that does not pay for itself.
TEST_CASE("the first order agrees with a scan over all single changes") {
    CHECK(rc::check("gain differential", [] {
        base::manual_clock clock;
        const role_settings settings{.demand_margin = 0};
        role_planner planner{clock, settings};
        role_planner::role_counts counts{};
        const auto n = *rc::gen::inRange(1, 13);
        for (int it = 0; it < n; ++it) {
            const auto role = *rc::gen::element(backend_role::mixed, backend_role::prefill, backend_role::decode);
            planner.update_engine({.name = std::to_string(it), .failure_domain = std::to_string(it), .role = role});
            ++counts[static_cast<std::size_t>(role)];
        }
        planner.set_demand(demand(*rc::gen::inRange(0, 80), *rc::gen::inRange(0, 101) / 100.0));
        const auto before = planner.expected_misses(counts);
        double best = 0;
        for (std::size_t from = 0; from < 3; ++from) {
            for (std::size_t to = 0; to < 3; ++to) {
                if (from == to || counts[from] == 0) {
                    continue;
                }
                auto absent = counts;
                --absent[from];
                auto changed = absent;
                ++changed[to];
                const auto cost = std::max(0.0, planner.expected_misses(absent) - before) * 18 + settings.fixed_cost;
                const auto gain = (before - planner.expected_misses(changed)) * (90 - 18);
                best = gain > settings.gain_factor * cost ? std::max(best, gain - cost) : best;
            }
        }
        const auto orders = planner.decide();
        RC_ASSERT(orders.empty() == (best == 0));
        RC_ASSERT((orders.empty() || std::abs(orders.front().expected_gain - best) < 1e-6));
    }));
}

// Guards against a planner that ignores a shift towards long prompts, or that never reverses its changes afterwards.
TEST_CASE("engines follow a shift to long prompts and back") {
    base::manual_clock clock;
    role_planner planner{clock};
    add_engines(planner, 12);
    role_planner::role_counts counts{12, 0, 0};
    const auto run = [&](const role_demand &now) {
        for (int second = 0; second < 600; ++second) {
            planner.set_demand(now);
            for (const auto &it : planner.decide()) {
                --counts[static_cast<std::size_t>(it.from)];
                ++counts[static_cast<std::size_t>(it.to)];
                planner.settled(it.backend, change_outcome::done);
            }
            clock.advance(1s);
        }
        return planner.expected_misses(counts);
    };
    const role_planner::role_counts all_mixed{12, 0, 0};
    const auto shifted = run(demand(60, 0.4));
    CHECK(counts[1] >= 3);
    CHECK(shifted <= planner.expected_misses(all_mixed) / 2);
    const auto before = counts;
    const auto back = run(demand(100, 0));
    CHECK(counts[1] < before[1]);
    CHECK(back <= 0.6 * planner.expected_misses(before));
}
