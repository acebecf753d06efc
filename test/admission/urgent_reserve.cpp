#include "admission/urgent_reserve.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned int urgent = 0;
constexpr unsigned int patient = 2;

struct demand_fixture {
    base::manual_clock clock;
    admission::urgent_reserve subject{clock};

    /** Lets one second pass, with that many requests in it. @param placed Of the patient ones. */
    void second(int urgent_requests, int patient_requests, int placed) {
        for (int n = 0; n < 10; ++n) {
            clock.advance(100ms);
            for (int it = 0; it < urgent_requests / 10; ++it) {
                subject.ask("llm", urgent, 500ms);
                subject.place("llm", urgent);
            }
            for (int it = 0; it < patient_requests / 10; ++it) {
                subject.ask("llm", patient, 1200ms);
            }
        }
        for (int it = 0; it < placed; ++it) {
            subject.place("llm", patient);
        }
    }
};

} // namespace

// Short checks in a flood beside long reviews. Guards against reviews that take the last room of the checks.
TEST_CASE("less urgent work keeps to the objective of urgent work that is asked for") {
    demand_fixture it;
    it.second(40, 20, 20);
    REQUIRE(it.subject.above("llm", patient).has_value());
    CHECK(it.subject.above("llm", patient)->objective == 500ms);
    CHECK_FALSE(it.subject.above("llm", urgent).has_value());
    CHECK_FALSE(it.subject.above("desk", patient).has_value());
}

// Guards against a reserve for urgent work that nobody asks for any more, or hardly ever.
TEST_CASE("the reserve ends with the urgent demand") {
    demand_fixture it;
    it.second(40, 20, 20);
    for (int n = 0; n < 8; ++n) {
        it.second(0, 20, 20);
    }
    CHECK_FALSE(it.subject.above("llm", patient).has_value());
}

// An urgent flood that lasts. Guards against less urgent requests that are never served.
TEST_CASE("less urgent work below its floor is exempt") {
    demand_fixture it;
    it.second(40, 20, 4);
    CHECK_FALSE(it.subject.above("llm", patient).has_value());
    it.second(40, 20, 20);
    REQUIRE(it.subject.above("llm", patient).has_value());
    CHECK(it.subject.above("llm", patient)->objective == 500ms);
}
