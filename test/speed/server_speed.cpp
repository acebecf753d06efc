#include "speed/server_speed.hpp"

#include <cmath>
#include <doctest/doctest.h>

#include "base/clock.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    speed::server_speed subject{clock};

    /** Measures a server that takes `steady` times as long as usual, while it reports the factor as well. */
    void work(int times, double steady, double factor) {
        for (int n = 0; n < times; ++n) {
            clock.advance(100ms);
            subject.reported(factor);
            subject.measured(steady * factor);
        }
    }
};

} // namespace

// Servers of speed 0.6 to 1.6 that share their hosts. Guards against taking work of others on the host for a property
// of the server, in both directions.
TEST_CASE("the steady part is measured without the reported factor") {
    for (const double steady : {0.625, 1.0, 1.667}) {
        CAPTURE(steady);
        fixture it;
        for (const double factor : {1.0, 2.5, 0.8, 1.7, 2.5, 1.0}) {
            it.work(10, steady, factor);
        }
        it.subject.settle(0);
        CHECK(std::exp(it.subject.steady().log_time) == doctest::Approx(steady).epsilon(0.1));
        CHECK(it.subject.time_factor() == doctest::Approx(steady).epsilon(0.15));
    }
}

// Services whose servers are all alike and report no factor. Guards against an order among them that is only noise.
TEST_CASE("a server counts as fast or slow only when enough measurements show it") {
    fixture it;
    it.subject.measured(0.4);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == 1);
    for (int n = 0; n < 60; ++n) {
        it.clock.advance(100ms);
        it.subject.measured(n % 2 == 0 ? 0.7 : 1.4);
    }
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == doctest::Approx(1).epsilon(0.1));
    for (int n = 0; n < 60; ++n) {
        it.clock.advance(100ms);
        it.subject.measured(n % 2 == 0 ? 0.45 : 0.8);
    }
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == 1);
    // From its first report on, the same measurements count.
    it.subject.reported(1);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() < 0.8);
}

// All servers of a service slow down together, for example by longer prompts. Guards against counting each as slow.
TEST_CASE("the steady part is relative to the other servers of the service") {
    fixture it;
    it.work(40, 1.3, 1);
    it.clock.advance(30s); // The latest slowness has faded.
    it.subject.settle(it.subject.steady().log_time);
    CHECK(it.subject.time_factor() == doctest::Approx(1).epsilon(0.05));
    it.subject.settle(0);
    CHECK(it.subject.time_factor() > 1.15);
}

// A factor that changes many times a second. Guards against using one that is outdated as if it were news.
TEST_CASE("a reported factor counts while it is fresh, its mean afterwards") {
    fixture it;
    for (int n = 0; n < 30; ++n) {
        it.clock.advance(200ms);
        it.subject.reported(n % 2 == 0 ? 1.0 : 2.5);
    }
    CHECK(it.subject.reported_factor() == doctest::Approx(2.5));
    CHECK(it.subject.factor_spread() == doctest::Approx(0).epsilon(0.01));
    it.clock.advance(2s);
    CHECK(it.subject.reported_factor() > 1.3);
    CHECK(it.subject.reported_factor() < 1.8);
    CHECK(it.subject.factor_spread() > 0.3);
}

// A server is far slower for some seconds. Guards against avoiding it long after that, since it is not measured then.
TEST_CASE("a passing slowness does not outlast the servers that are avoided for it") {
    fixture it;
    it.work(20, 6, 1);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() > 3);
    it.clock.advance(15s);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() < 2);
    it.clock.advance(2min);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == doctest::Approx(1).epsilon(0.01));
}

// A gateway that has just started. Guards against an estimate that each of many gateways has to learn by itself, and
// against one that lasts when those who told it are gone.
TEST_CASE("what other gateways have measured counts, less than own measurements, and fades") {
    fixture it;
    it.subject.shared({std::log(1.6), 100});
    it.subject.settle(0);
    CHECK(it.subject.time_factor() > 1.4);
    it.work(40, 0.7, 1);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() < 1.25);
    CHECK(it.subject.own().samples == doctest::Approx(40).epsilon(0.1));
    it.clock.advance(5min);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == doctest::Approx(1).epsilon(0.01));
}

// Hosts that run for days. Guards against a division by what is left of a measurement long ago, or of none.
TEST_CASE("a server without a recent measurement is usual, however long the host runs") {
    fixture it;
    it.clock.advance(100h);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == 1);
    it.work(60, 2, 1);
    it.clock.advance(100h);
    it.subject.settle(0);
    CHECK(it.subject.time_factor() == doctest::Approx(1));
}
