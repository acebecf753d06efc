#include "gateway/wait_limiter.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

// Overload: far more requests arrive than places become free. Guards against a queue in which most requests wait only
// to be refused: an unlimited queue would take all 200.
TEST_CASE("only as many requests wait as can be placed in time") {
    base::manual_clock clock;
    gateway::wait_limiter subject{clock};
    int admitted = 0;
    for (int n = 0; n < 200; ++n) {
        if (subject.may_wait("llm", 1s)) {
            subject.begin("llm");
            ++admitted;
        }
    }
    CHECK(admitted == 10);
    CHECK(subject.may_wait("desk", 1s));
}

// Places become free quickly. Guards against refusing requests that would soon be served.
TEST_CASE("the queue grows with the rate at which it is served") {
    base::manual_clock clock;
    gateway::wait_limiter subject{clock};
    for (int n = 0; n < 500; ++n) {
        subject.begin("llm");
        clock.advance(10ms);
        subject.end("llm", true);
    }
    int admitted = 0;
    while (admitted < 500 && subject.may_wait("llm", 1s)) {
        subject.begin("llm");
        ++admitted;
    }
    CHECK(admitted > 70);
    CHECK(admitted < 130);
    // Requests that leave without a place do not raise the rate.
    for (int n = 0; n < admitted; ++n) {
        subject.end("llm", false);
    }
    clock.advance(20s);
    CHECK(subject.may_wait("llm", 200ms));
    CHECK_FALSE(subject.may_wait("llm", 50ms));
}
