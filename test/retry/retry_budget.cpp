#include "retry/retry_budget.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::retry;

namespace {

int acquire_all(retry_budget &budget, std::string_view organisation, std::string_view service) {
    int n = 0;
    while (budget.try_acquire(organisation, service) == budget_verdict::granted) {
        ++n;
    }
    return n;
}

} // namespace

// Guards against a retry storm: retries stay below a fraction of the traffic plus a small minimum.
TEST_CASE("a budget grants a ratio of recent requests plus a minimum") {
    manual_clock clock;
    retry_budget budget{clock, {.ratio = 0.1, .minimum_per_second = 2, .burst = 2}};
    for (int n = 0; n < 1000; ++n) {
        budget.record_request("large", "drafting");
    }
    CHECK(acquire_all(budget, "large", "drafting") == 102);
    clock.advance(500ms);
    CHECK(acquire_all(budget, "large", "drafting") == 1);
    // Earned retries decay: after five windows less than 1% is left.
    for (int n = 0; n < 1000; ++n) {
        budget.record_request("large", "drafting");
    }
    clock.advance(50s);
    CHECK(acquire_all(budget, "large", "drafting") == 2);
}

// Guards against an idle site that cannot retry the requests which a lost engine had not started.
TEST_CASE("a site without traffic can use its whole burst of retries at once") {
    manual_clock clock;
    retry_budget budget{clock, {.ratio = 0.1, .minimum_per_second = 1, .burst = 10}};
    CHECK(acquire_all(budget, "large", "drafting") == 10);
    clock.advance(3s);
    CHECK(acquire_all(budget, "large", "drafting") == 3);
}

// Guards against one organisation that uses up another's retries, and against a refused retry that is charged.
TEST_CASE("organisation and service have separate budgets and a refusal charges neither") {
    manual_clock clock;
    retry_budget budget{clock, {.ratio = 0.5, .minimum_per_second = 0}};
    for (int n = 0; n < 4; ++n) {
        budget.record_request("large", "drafting");
        budget.record_request("small", "drafting");
        budget.record_request("small", "booking");
    }
    CHECK(acquire_all(budget, "large", "drafting") == 2);
    CHECK(budget.try_acquire("large", "drafting") == budget_verdict::organisation_exhausted);
    CHECK(acquire_all(budget, "small", "drafting") == 2);
    CHECK(budget.try_acquire("small", "drafting") == budget_verdict::service_exhausted);
    CHECK(acquire_all(budget, "small", "booking") == 2);
}

// Guards against a budget that grants more than its limit over any history.
TEST_CASE("retries never exceed the ratio of all requests plus the minimum over time") {
    const bool holds = rc::check("bound", [] {
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
        manual_clock clock;
        retry_budget budget{clock, {.ratio = 0.2, .minimum_per_second = 0.5, .burst = 3}};
        double requests = 0;
        double retries = 0;
        double seconds = 0;
        for (const int step : steps) {
            if (step % 3 == 0) {
                budget.record_request("a", "s");
                ++requests;
            } else if (step % 3 == 1) {
                retries += budget.try_acquire("a", "s") == budget_verdict::granted ? 1 : 0;
            } else {
                clock.advance(step * 1ms);
                seconds += step * 1e-3;
                budget.prune();
            }
            RC_ASSERT(retries <= 0.2 * requests + 0.5 * seconds + 3 + 1e-6);
        }
    });
    CHECK(holds);
}
