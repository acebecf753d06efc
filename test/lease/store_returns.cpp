#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

#include "lease/lease_state_machine.hpp"
#include "support/returning_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Three candidates for a lease in a store that returns from copies. */
struct fixture {
    base::manual_clock clock;
    test::returning_store store;
    base::id_source ids{3};
    std::vector<std::unique_ptr<lease::lease_state_machine>> candidates;
    std::vector<std::uint64_t> fences; /**< In the order of acquisition. */
    std::size_t most_holders{0};

    fixture() {
        for (const auto *name : {"a", "b", "c"}) {
            candidates.push_back(std::make_unique<lease::lease_state_machine>(
                clock,
                lease::lease_settings{
                    .name = "usage", .holder = name, .term = 3s, .renew_every = 900ms, .standby_read_every = 1s}));
        }
    }

    /** Lets candidates act for a time. @param reached Candidates that reach the store. */
    void run(base::duration time, std::array<bool, 3> reached = {true, true, true}) {
        for (base::duration it{0}; it < time; it += 50ms) {
            clock.advance(50ms);
            for (std::size_t n = 0; n < candidates.size(); ++n) {
                store.inner.set_faults({.outage = !reached.at(n)});
                for (int step = 0; step < 5; ++step) {
                    if (lease::drive_lease(*candidates[n], store, ids).step == lease::lease_step::wait) {
                        break;
                    }
                }
                note_fence(*candidates[n]);
            }
            store.inner.set_faults({});
            const auto held = [](const auto &candidate) { return candidate->held(); };
            most_holders = std::max(most_holders, static_cast<std::size_t>(std::ranges::count_if(candidates, held)));
        }
    }

    void note_fence(const lease::lease_state_machine &it) {
        const auto authority = it.authority();
        if (authority && std::ranges::find(fences, authority->fence()) == fences.end()) {
            fences.push_back(authority->fence());
        }
    }
};

} // namespace

// Guards against a second holder at once after a return: the copy has no lease, or one that was released since taken.
TEST_CASE("a lease that a copy of the store lacks is not free while its holder may act") {
    fixture it;
    SUBCASE("the copy has no lease") {
        it.store.take_copy();
        it.run(6s, {true, false, false});
    }
    SUBCASE("the copy has a lease that was released") {
        it.run(6s, {false, true, false});
        it.candidates[1]->release();
        it.run(1s, {false, true, false});
        it.store.take_copy();
        it.run(8s, {true, false, false});
    }
    REQUIRE(it.candidates[0]->held());
    it.run(2s, {true, false, true});
    it.store.restore_copy();
    // The holder notices nothing, because it is cut off.
    it.run(2s, {false, true, true});
    CHECK(it.most_holders == 1);
    it.run(6s);
    CHECK(it.most_holders == 1);
    CHECK(it.fences.size() >= 2);
    CHECK(std::ranges::is_sorted(it.fences));
}

// Guards against any order of copies, returns, cuts and releases that gives two holders, or a fence that goes back.
TEST_CASE("there is one holder, and fences grow, over any series of returns of the store") {
    for (unsigned int seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        const auto draw = [&random](int low, int high) { return std::uniform_int_distribution{low, high}(random); };
        fixture it;
        it.run(7s);
        it.store.take_copy();
        for (int n = 0; n < 12; ++n) {
            if (draw(0, 2) == 0) {
                it.store.take_copy();
            }
            it.run(std::chrono::milliseconds{draw(0, 4000)}, {draw(0, 3) > 0, draw(0, 3) > 0, draw(0, 3) > 0});
            if (draw(0, 1) == 0) {
                it.store.restore_copy();
            }
            it.run(std::chrono::milliseconds{draw(0, 4000)}, {draw(0, 3) > 0, draw(0, 3) > 0, draw(0, 3) > 0});
        }
        CHECK(it.most_holders <= 1);
        CHECK(std::ranges::is_sorted(it.fences));
        it.run(12s);
        CHECK(it.most_holders == 1);
    }
}
