#include "roles/capacity_planner.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace dotterelstack;
using namespace dotterelstack::roles;
using namespace std::chrono_literals;
using kind = capacity_action::kind;

namespace {

std::vector<capacity_action> only(const std::vector<capacity_action> &all, kind what) {
    std::vector<capacity_action> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), [&](const auto &it) { return it.what == what; });
    return out;
}

/** Reference model of the backend servers, kept independently of the planner. */
struct reference_fleet {
    enum class stage {
        serving,
        draining,
        stopping
    };

    struct server {
        std::string domain;
        std::uint32_t outstanding{0};
        bool busy{false};
        bool healthy{true};
        stage now{stage::serving};
        std::uint64_t order{0};
    };

    std::map<std::string, server> servers;

    [[nodiscard]] std::pair<int, int> serving() const {
        std::map<std::string, int> n;
        for (const auto &[name, it] : servers) {
            n[it.domain] += it.now == stage::serving && it.healthy ? 1 : 0;
        }
        int total = 0;
        int largest = 0;
        for (const auto &[domain, count] : n) {
            total += count;
            largest = std::max(largest, count);
        }
        return {total, total - largest};
    }
};

} // namespace

// Guards against conflicting actions on one backend server, a stop before the drain has ended, and a release that
// leaves too few backend servers for the loss of one failure domain.
TEST_CASE("actions follow the life cycle and keep the reserve for the loss of a failure domain") {
    CHECK(rc::check("capacity differential", [] {
        base::manual_clock clock;
        capacity_planner planner{clock};
        reference_fleet reference;
        for (const auto *domain : {"a", "b", "c"}) {
            planner.set_domain(domain, domain[0] == 'c' ? 2.0 : 1.0);
        }
        int made = 0;
        double demand = 2;
        std::map<std::uint64_t, std::string> starts;
        const auto n = *rc::gen::inRange(1, 150);
        for (int step = 0; step < n; ++step) {
            clock.advance(std::chrono::seconds{*rc::gen::inRange(0, 200)});
            const auto what = *rc::gen::inRange(0, 6);
            if (what == 0) {
                demand = *rc::gen::inRange(0, 80) / 10.0;
            } else if (what == 1 && !starts.empty()) {
                const auto [order, domain] = *starts.begin();
                const auto how =
                    *rc::gen::element(order_outcome::done, order_outcome::rejected, order_outcome::unknown);
                if (how == order_outcome::done) {
                    reference.servers["s" + std::to_string(made++)] = {.domain = domain};
                }
                for (const auto &[name, it] : reference.servers) {
                    planner.update_backend({name, it.domain, it.outstanding, it.healthy, it.busy});
                }
                planner.order_settled(order, how);
                if (how != order_outcome::unknown) {
                    starts.erase(order);
                }
            } else if (!reference.servers.empty()) {
                auto place = reference.servers.begin();
                std::advance(place, *rc::gen::inRange<std::size_t>(0, reference.servers.size()));
                auto &[name, it] = *place;
                if (what == 2 && it.now == reference_fleet::stage::stopping) {
                    const auto how =
                        *rc::gen::element(order_outcome::done, order_outcome::rejected, order_outcome::unknown);
                    planner.order_settled(it.order, how);
                    if (how == order_outcome::done) {
                        reference.servers.erase(place);
                    } else if (how == order_outcome::rejected) {
                        it.now = reference_fleet::stage::draining;
                    }
                } else {
                    it.outstanding = *rc::gen::inRange(0U, 3U);
                    it.busy = it.now == reference_fleet::stage::serving && *rc::gen::inRange(0, 4) == 0;
                    it.healthy = *rc::gen::inRange(0, 8) != 0;
                    planner.update_backend({name, it.domain, it.outstanding, it.healthy, it.busy});
                }
            }
            planner.set_demand(demand);
            const auto actions = planner.decide();
            std::map<std::string, int> touched;
            for (const auto &action : actions) {
                if (action.what == kind::start) {
                    starts[action.order] = action.failure_domain;
                    RC_ASSERT(starts.size() <= 4);
                    continue;
                }
                RC_ASSERT(++touched[action.backend] == 1);
                auto &it = reference.servers.at(action.backend);
                const bool serving = it.now == reference_fleet::stage::serving;
                const bool drainable = serving && !it.busy && it.healthy;
                RC_ASSERT((action.what == kind::drain ? drainable : it.now == reference_fleet::stage::draining));
                RC_ASSERT(action.what != kind::stop || it.outstanding == 0);
                it.order = action.order;
                it.now = action.what == kind::drain  ? reference_fleet::stage::draining
                         : action.what == kind::stop ? reference_fleet::stage::stopping
                                                     : reference_fleet::stage::serving;
            }
            const auto [total, after_loss] = reference.serving();
            RC_ASSERT(planner.serving_after_loss() == static_cast<std::uint32_t>(after_loss));
            if (!only(actions, kind::drain).empty() || !only(actions, kind::stop).empty()) {
                RC_ASSERT(total >= std::ceil(demand / 0.7));
                RC_ASSERT(after_loss >= std::max(1.0, std::ceil(demand / 0.9)));
            }
        }
    }));
}

// Guards against capacity that is not replaced after a failure domain is withdrawn, or is ordered in that domain.
TEST_CASE("the capacity of a withdrawn failure domain is replaced elsewhere") {
    base::manual_clock clock;
    capacity_planner planner{clock};
    for (const auto *domain : {"a", "b", "c"}) {
        planner.set_domain(domain, 1);
        for (int it = 0; it < 3; ++it) {
            planner.update_backend({.name = domain + std::to_string(it), .failure_domain = domain});
        }
    }
    planner.set_demand(5);
    CHECK(planner.decide().empty());
    planner.set_domain("b", 1, false);
    const auto starts = only(planner.decide(), kind::start);
    CHECK(starts.size() == 4);
    CHECK(std::none_of(starts.begin(), starts.end(), [](const auto &it) { return it.failure_domain == "b"; }));
    CHECK(planner.decide().empty());
}

// Guards against backend servers that are never released after a peak, and against a release right after demand fell.
TEST_CASE("spare backend servers are drained one by one after the demand stayed low") {
    base::manual_clock clock;
    capacity_planner planner{clock};
    for (int it = 0; it < 9; ++it) {
        planner.set_domain(std::to_string(it % 3), it % 3 == 1 ? 3 : 1);
        planner.update_backend({.name = "s" + std::to_string(it), .failure_domain = std::to_string(it % 3)});
    }
    planner.set_demand(6);
    for (const auto &it : planner.decide()) {
        CHECK(it.what == kind::start);
        planner.order_settled(it.order, order_outcome::rejected);
    }
    planner.set_demand(1);
    clock.advance(1min);
    CHECK(planner.decide().empty());
    clock.advance(5min);
    const auto drains = planner.decide();
    REQUIRE(drains.size() == 1);
    CHECK(drains.front().what == kind::drain);
    CHECK(drains.front().failure_domain == "1");
    CHECK(planner.decide().front().what == kind::stop);
}
