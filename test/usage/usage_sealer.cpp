#include "usage/usage_sealer.hpp"

#include <doctest/doctest.h>

#include "lease/lease_state_machine.hpp"
#include "store/memory_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    base::id_source ids{4};
    store::memory_store store;
    lease::lease_state_machine lease_state{clock, {.name = "billing", .holder = "a"}};
    usage::usage_sealer sealer{clock, {}};

    void run(base::duration time) {
        for (base::duration it{0}; it < time; it += 500ms) {
            for (int n = 0; n < 3; ++n) {
                lease::drive_lease(lease_state, store, ids);
            }
            for (int n = 0; n < 10; ++n) {
                usage::drive_sealer(sealer, store, ids, lease_state.authority());
            }
            clock.advance(500ms);
        }
    }

    bool sealed(std::uint64_t window) { return store.get(usage::sealed_key(window)).value().has_value(); }
};

} // namespace

// Guards against sealing before the entries had time to read the new open window and to flush.
TEST_CASE("a window is sealed a grace period after the next one was opened") {
    fixture it;
    it.run(60s);
    CHECK(it.sealer.open().window == 1);
    it.run(2s);
    CHECK(it.sealer.open().window == 2);
    it.run(70s);
    CHECK_FALSE(it.sealed(1));
    it.run(8s);
    CHECK(it.sealed(1));
    CHECK_FALSE(it.sealed(2));
    it.run(180s);
    CHECK(it.sealer.sealed() == 4);
}

// Guards against a busy loop or sealing without the lease during an outage, and against a gap in the windows after it.
TEST_CASE("an outage delays sealing and leaves no gap between windows") {
    fixture it;
    it.run(100s);
    it.store.set_faults({.outage = true});
    const auto before = it.store.counters();
    it.run(100s);
    CHECK(it.store.counters().reads - before.reads < 1000);
    it.store.set_faults({});
    it.run(200s);
    for (std::uint64_t window = 1; window <= it.sealer.sealed(); ++window) {
        CHECK(it.sealed(window));
    }
    CHECK(it.sealer.sealed() >= 2);
}

// Guards against a new lease holder that seals again from the first window, or reads every sealed window.
TEST_CASE("a new holder continues after the last sealed window") {
    fixture it;
    it.run(600s);
    const auto last = it.sealer.sealed();
    REQUIRE(last > 5);
    usage::usage_sealer next{it.clock, {}};
    const auto reads = it.store.counters().reads;
    for (int n = 0; n < 10; ++n) {
        usage::drive_sealer(next, it.store, it.ids, it.lease_state.authority());
    }
    CHECK(next.sealed() == last);
    CHECK(it.store.counters().reads - reads <= 6);
}
