#include <csignal>
#include <doctest/doctest.h>
#include <thread>

#include "support/site.hpp"
#include "support/stream_set.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using test::stream_set;

namespace {

constexpr std::size_t tokens = 60;
constexpr std::size_t stream_count = 6;
const std::vector<std::string> slow_engine{"--tokens-per-second", "40"};

stream_set open_streams(const test::site &it) {
    return {it.callers(), it.key(), "stop", stream_count, tokens};
}

} // namespace

// Shows that the checks below can fail: a process that is killed instead of stopped interrupts its streams.
TEST_CASE("promise 13: a killed entry breaks its streams") {
    test::site it{{.engines = 1, .services = 0, .engine_arguments = {slow_engine}}};
    const auto streams = open_streams(it);
    it.entry(0).signal(SIGKILL);
    CHECK(streams.count_whole() == 0);
}

// Guards against an entry that ends before its open responses are complete, or that takes new ones meanwhile.
TEST_CASE("promise 13: SIGTERM to an entry lets its streams end whole") {
    test::site it{{.engines = 2, .services = 1, .engine_arguments = {slow_engine}}};
    const auto streams = open_streams(it);
    it.entry(0).signal(SIGTERM);
    CHECK(eventually([&] { return it.call(0, "GET", "/services/booking/availability").status == 0; }));
    CHECK(streams.count_whole() == stream_count);
    CHECK(it.entry(0).wait(test::eventually_limit) == 0);
}

// Guards against an agent that ends before the responses of its engine have been passed on. There is no other engine,
// so that a lost end cannot be made up for by a resume.
TEST_CASE("promise 13: SIGTERM to the only agent lets its streams end whole") {
    test::site it{{.engines = 1, .services = 0, .engine_arguments = {slow_engine}}};
    const auto streams = open_streams(it);
    it.agent(0).signal(SIGTERM);
    CHECK(streams.count_whole() == stream_count);
    CHECK(it.agent(0).wait(test::eventually_limit) == 0);
    CHECK(it.complete(0, "late", 1).status == 503);
}

// Guards against an agent that ends between the service's response and the last byte towards the entry: the caller of
// a booking would be told that the outcome is unknown.
TEST_CASE("promise 13: SIGTERM to an agent delivers the response of a running booking") {
    for (int round = 0; round < 3; ++round) {
        test::site it{{.engines = 0, .services = 1, .service_arguments = {"--latency-ms", "700"}}};
        test::reply got;
        std::thread caller{[&] { got = it.book(0, "b-1"); }};
        const bool running = eventually([&] { return it.runs_of("b-1") == 1; });
        it.agent(0).signal(SIGTERM);
        caller.join();
        CHECK(running);
        CHECK(got.status == 201);
        CHECK(it.agent(0).wait(test::eventually_limit) == 0);
        CHECK(it.runs_of("b-1") == 1);
    }
}

// Guards against new work that fails because one of several agents stops.
TEST_CASE("promise 13: while one agent stops, new work succeeds elsewhere") {
    test::site it{{.engines = 2, .services = 0, .engine_arguments = {slow_engine}}};
    const auto streams = open_streams(it);
    it.agent(0).signal(SIGTERM);
    for (int n = 0; n < 20; ++n) {
        CHECK(it.complete(0, "new " + std::to_string(n), 1).status == 200);
    }
    CHECK(streams.count_whole() == stream_count);
    CHECK(it.agent(0).wait(test::eventually_limit) == 0);
    for (int n = 0; n < 5; ++n) {
        CHECK(it.complete(0, "later " + std::to_string(n), 1).status == 200);
    }
}
