#include "lease/lease_thread.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <thread>

#include "store/memory_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

bool eventually(const std::function<bool()> &condition) {
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

// Guards against a stopping holder that retries its release for only 2 s. If the store is down for longer during a
// rolling stop, the successor then waits for the whole term after the outage, which delayed a usage report.
TEST_CASE("a failed release is retried until the process must end") {
    const base::boottime_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    const lease::lease_settings holder{.name = "usage", .holder = "a", .term = 60s};
    lease::lease_thread it{holder, clock, store, ids, [] { return true; }};
    it.start();
    REQUIRE(eventually([&it] { return it.authority().has_value(); }));
    store.set_faults({.outage = true});
    const auto begun = clock.now();
    it.request_stop(begun + 20s);
    CHECK(clock.now() - begun < 1s);
    std::this_thread::sleep_for(2500ms);
    store.set_faults({});
    it.stop();
    const lease::lease_settings next{.name = "usage", .holder = "b", .term = 60s};
    lease::lease_thread successor{next, clock, store, ids, [] { return true; }};
    successor.start();
    CHECK(eventually([&successor] { return successor.authority().has_value(); }));
}
