#include "lease/lease_state_machine.hpp"

#include <doctest/doctest.h>

#include "store/memory_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{3};
    lease::lease_state_machine a{clock, {.name = "planner", .holder = "a"}};
    lease::lease_state_machine b{clock, {.name = "planner", .holder = "b"}};

    void drive(lease::lease_state_machine &lease_state) {
        for (int it = 0; it < 5 && lease::drive_lease(lease_state, store, ids).step != lease::lease_step::wait; ++it) {
        }
    }

    void run(lease::lease_state_machine &lease_state, base::duration time) {
        for (base::duration it{0}; it < time; it += 100ms) {
            clock.advance(100ms);
            drive(lease_state);
        }
    }

    std::uint64_t stored_fence() { return lease::parse_lease(*store.get("lease/planner").value()).value().fence; }
};

} // namespace

// Guards against a fence that changes with renewals, or a renewal that does not extend the term.
TEST_CASE("the holder keeps its fence over renewals") {
    fixture it;
    it.drive(it.a);
    REQUIRE(it.a.held());
    const auto fence = it.a.authority()->fence();
    CHECK(it.stored_fence() == fence);
    it.run(it.a, 20s);
    CHECK(it.a.held());
    CHECK(it.a.authority()->fence() == fence);
    CHECK(it.stored_fence() == fence);
}

// Guards against two simultaneous holders when one of them is paused or cannot reach the store.
TEST_CASE("a successor waits for term, margin and send time-out from its first read") {
    fixture it;
    it.drive(it.a);
    const auto check = *it.a.authority();
    base::duration gap{0};
    for (base::duration time{0}; time < 20s && !it.b.held(); time += 100ms) {
        it.drive(it.b);
        CHECK_FALSE((check() && it.b.held()));
        gap += check() ? 0ms : 100ms;
        it.clock.advance(100ms);
    }
    REQUIRE(it.b.held());
    CHECK(gap >= 1500ms);
    CHECK(it.b.authority()->fence() > check.fence());
    it.drive(it.a);
    CHECK_FALSE(it.a.held());
    CHECK_FALSE(check());
}

// Guards against counting the term from the answer: after a slow renewal the old holder would overlap its successor.
TEST_CASE("the term counts from before the renewal was sent") {
    fixture it;
    it.store.set_write_hook([&it](std::string_view) { it.clock.advance(4s); });
    it.drive(it.a);
    it.store.set_write_hook({});
    REQUIRE(it.a.held());
    it.clock.advance(999ms);
    CHECK(it.a.held());
    it.clock.advance(1ms);
    CHECK_FALSE(it.a.held());
}

// Guards against losing the lease, or extending it, on a renewal whose answer was lost.
TEST_CASE("a lost answer keeps the fence and an outage ends the lease") {
    fixture it;
    it.drive(it.a);
    const auto fence = it.a.authority()->fence();
    it.store.set_faults({.lose_requests = true});
    it.run(it.a, 3s);
    it.store.set_faults({.lose_answers = true});
    it.run(it.a, 10s);
    REQUIRE(it.a.held());
    CHECK(it.a.authority()->fence() == fence);
    it.store.set_faults({.outage = true});
    it.run(it.a, 5s);
    CHECK_FALSE(it.a.held());
    it.store.set_faults({});
    it.run(it.a, 10s);
    REQUIRE(it.a.held());
    CHECK(it.a.authority()->fence() > fence);
}

// Guards against a candidate or holder that calls a failing store in a busy loop.
TEST_CASE("failed calls are repeated after a pause") {
    fixture it;
    it.store.set_faults({.outage = true});
    CHECK(lease::drive_lease(it.a, it.store, it.ids).step == lease::lease_step::read);
    const auto action = lease::drive_lease(it.a, it.store, it.ids);
    CHECK(action.step == lease::lease_step::wait);
    CHECK(action.until == it.clock.now() + 200ms);
}

// Guards against a successor that acquires the lease on the basis of a stale read.
TEST_CASE("a stale read leads to a conflict, not to a second holder") {
    fixture it;
    it.drive(it.a);
    it.run(it.a, 2s);
    it.store.set_faults({.stale_reads = true});
    for (int n = 0; n < 100; ++n) {
        it.clock.advance(100ms);
        it.store.set_faults({});
        it.drive(it.a);
        it.store.set_faults({.stale_reads = true});
        it.drive(it.b);
        CHECK_FALSE(it.b.held());
    }
}

// Guards against a holder that retries renewals in a busy loop while the store returns old versions.
TEST_CASE("stale reads do not cause a busy loop") {
    fixture it;
    it.drive(it.a);
    it.run(it.a, 2s);
    it.store.set_faults({.lose_answers = true, .stale_reads = true});
    const auto before = it.store.counters();
    for (int n = 0; n < 100; ++n) {
        lease::drive_lease(it.a, it.store, it.ids);
        it.clock.advance(1ms);
    }
    it.store.set_faults({.stale_reads = true});
    for (int n = 0; n < 2000; ++n) {
        lease::drive_lease(it.a, it.store, it.ids);
        it.clock.advance(1ms);
    }
    CHECK(it.store.counters().writes - before.writes < 60);
    CHECK(it.store.counters().reads - before.reads < 60);
}

// Guards against a release that makes the successor wait for a whole term, or that leaves the holder its authority.
TEST_CASE("a successor acquires a released lease after the send time-out") {
    fixture it;
    it.drive(it.a);
    const auto check = *it.a.authority();
    it.a.release();
    CHECK_FALSE(check());
    it.drive(it.a);
    it.drive(it.b);
    CHECK_FALSE(it.b.held());
    it.run(it.b, 2100ms);
    CHECK(it.b.held());
}
