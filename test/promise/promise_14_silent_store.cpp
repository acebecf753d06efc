#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;

namespace {

// The gateways' default: rules with a time bound hold from so long after the last fault.
constexpr auto contact_time = 3s;
constexpr std::size_t gateway_count = 6;
constexpr int rounds = 4;
// Moves the moment of the fault within the waits of the watches.
constexpr auto phase_step = 370ms;
// From the store's acknowledgement until every gateway uses a configuration; the gateways' default.
constexpr auto apply_time = 2s;
// Within it gateways learn each other's addresses, which they read again at intervals.
constexpr auto acquaintance_time = 11s;
// Longer than the time until each thread of a gateway has made a call to the store.
constexpr auto settle_time = 3s;

} // namespace

// Guards against a gateway that stays with an older configuration while it waits, call after call, on kept connections
// to the store that have gone silent.
TEST_CASE("promise 14: a configuration is in force in time although all connections to the store went silent") {
    test::forward_site it;
    std::vector<std::string> keys{"key-1"};
    it.configure(keys);
    it.start_runner("desk-1", "");
    for (std::size_t n = 0; n < gateway_count; ++n) {
        it.start_gateway(n);
    }
    const auto serves = [&](std::size_t n) { return it.send(n, "read", "probe", keys.back()).status == 200; };
    for (std::size_t n = 0; n < gateway_count; ++n) {
        REQUIRE(eventually([&] { return serves(n); }));
    }
    for (int round = 0; round < rounds; ++round) {
        std::this_thread::sleep_for(settle_time + round * phase_step);
        for (std::size_t n = 0; n < gateway_count; ++n) {
            it.store_path(n).silence_open();
        }
        const auto silent_since = steady::now();
        keys.push_back("key-new-" + std::to_string(round));
        it.configure(keys);
        std::this_thread::sleep_until(silent_since + contact_time);
        for (std::size_t n = 0; n < gateway_count; ++n) {
            CAPTURE(round);
            CAPTURE(n);
            CHECK(serves(n));
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            REQUIRE(eventually([&] { return serves(n); }));
        }
    }
}

// Guards against a gateway that waits for the store, call after call, while another gateway has the configuration.
TEST_CASE("promise 14: a gateway whose calls to the store hang takes the configuration from one that has it, in time") {
    test::forward_site it;
    std::vector<std::string> keys{"key-1"};
    it.configure(keys);
    it.start_runner("desk-1", "");
    it.start_gateway(0);
    it.start_gateway(1);
    for (std::size_t n = 0; n < it.gateways(); ++n) {
        REQUIRE(eventually([&it, n] { return it.send(n, "read", "probe").status == 200; }));
    }
    std::this_thread::sleep_for(acquaintance_time);
    it.store_path(0).silence_all();
    std::this_thread::sleep_for(contact_time);
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        std::this_thread::sleep_for(round * phase_step);
        keys.push_back("key-new-" + std::to_string(round));
        it.configure(keys);
        CHECK(eventually([&] { return it.send(0, "read", "later", keys.back()).status == 200; }, apply_time));
        REQUIRE(eventually([&] { return it.send(0, "read", "after", keys.back()).status == 200; }));
    }
}

// Guards against telling a caller for good that its key is invalid when a newer configuration may have it.
TEST_CASE("promise 14: a gateway that nobody confirms its configuration to serves by it, and calls no key invalid") {
    test::forward_site it;
    it.configure({"key-1"});
    it.start_runner("desk-1", "");
    it.start_gateway(0);
    REQUIRE(eventually([&it] { return it.send(0, "read", "probe").status == 200; }));
    CHECK(it.send(0, "read", "before", "key-2").status == 401);
    it.store_path(0).silence_all();
    std::this_thread::sleep_for(contact_time);
    CHECK(it.send(0, "read", "known").status == 200);
    const auto refused = it.send(0, "read", "unknown", "key-2");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.field("Retry-After").empty());
    it.store_path(0).pass_new();
    CHECK(eventually([&it] { return it.send(0, "read", "after", "key-2").status == 401; }, contact_time));
}
