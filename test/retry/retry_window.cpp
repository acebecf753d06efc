#include "retry/retry_window.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

// Guards against gateways that exceed the common limit together although each stays within it.
TEST_CASE("the allowance is divided among the gateways") {
    base::manual_clock clock;
    retry::retry_window it{clock, {10s, 0.0, 60}};
    it.set_gateways(6);
    int granted = 0;
    while (it.try_acquire("large", "llm") == retry::budget_verdict::granted) {
        ++granted;
    }
    CHECK(granted == 9);
    CHECK(it.available("desk") == 9);
}

// A burst followed by a pause. Guards against retries granted for requests that have left the window.
TEST_CASE("requests allow retries for one window only") {
    base::manual_clock clock;
    retry::retry_window it{clock, {10s, 0.2, 0}};
    for (int n = 0; n < 100; ++n) {
        it.record_request("large", "llm");
    }
    CHECK(it.available("llm") == 18);
    REQUIRE(it.try_acquire("large", "llm") == retry::budget_verdict::granted);
    clock.advance(10001ms);
    CHECK(it.available("llm") == 0);
    CHECK(it.try_acquire("large", "llm") == retry::budget_verdict::service_exhausted);
}
