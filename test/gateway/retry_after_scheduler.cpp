#include "gateway/retry_after_scheduler.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct outcome {
    int refused_again{0};
    int served{0};
};

/**
 * Simulates an overload: 200 arrivals per second for one second, then 20 per second, at a service that can take 40 per
 * second. Refused callers return once, after `wait`.
 */
template<typename Wait>
outcome simulate_overload(base::manual_clock &clock, gateway::retry_after_scheduler &schedule, Wait wait) {
    outcome out;
    std::vector<base::instant> returns;
    const auto begin = clock.now();
    double places = 0;
    for (int ms = 0; ms < 6000; ms += 5) {
        clock.advance(5ms);
        places = std::min(4.0, places + 0.2);
        const int fresh = ms < 1000 ? 1 : (ms % 50 == 0 ? 1 : 0);
        const auto now = clock.now();
        const auto back = std::count_if(returns.begin(), returns.end(), [now](auto at) { return at <= now; });
        std::erase_if(returns, [now](auto at) { return at <= now; });
        for (int n = 0; n < fresh + back; ++n) {
            const bool again = n >= fresh;
            if (places >= 1) {
                places -= 1;
                schedule.on_placed("llm");
                ++out.served;
            } else if (again) {
                ++out.refused_again;
            } else {
                returns.push_back(now + wait());
            }
        }
    }
    CHECK(clock.now() - begin == 6s);
    return out;
}

} // namespace

// Overload at five times the capacity for one second. Guards against callers that return while it lasts and are refused
// again: there must be fewer of them than with a delay that depends on the free places only.
TEST_CASE("callers refused under overload return one after the other") {
    base::manual_clock clock;
    gateway::retry_after_scheduler baseline{clock};
    const auto fixed_delay = simulate_overload(clock, baseline, [] { return 75ms; });
    gateway::retry_after_scheduler subject{clock};
    const auto scheduled =
        simulate_overload(clock, subject, [&subject] { return subject.next_retry_after("llm", 75ms, 1600ms); });
    CHECK(scheduled.refused_again < fixed_delay.refused_again * 9 / 10);
    CHECK(scheduled.served > fixed_delay.served);
}

// Guards against a delay above the caller's limit, and against one longer than needed when few callers are refused.
TEST_CASE("the delay is at most the caller's limit and at least the time until a place is free") {
    base::manual_clock clock;
    gateway::retry_after_scheduler it{clock};
    CHECK(it.next_retry_after("llm", 200ms, 1s) == 200ms);
    for (int n = 0; n < 20; ++n) {
        CHECK(it.next_retry_after("llm", 200ms, 1s) <= 1s);
    }
    CHECK(it.next_retry_after("llm", 200ms, 1s) == 1s);
    CHECK(it.next_retry_after("desk", 30ms, 1s) == 50ms);
    clock.advance(5s);
    CHECK(it.next_retry_after("llm", 200ms, 1s) == 200ms);
}
