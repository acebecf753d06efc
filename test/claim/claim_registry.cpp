#include "claim/claim_registry.hpp"

#include <doctest/doctest.h>

#include "store/memory_store.hpp"

using namespace dotterelstack;
using claim::claim_verdict;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{5};
    claim::claim_registry registry;

    explicit fixture(claim::claim_settings settings = {.owner = "a", .buckets = 1})
        : registry{clock, std::move(settings), [](std::string_view owner) { return owner == "gone"; }} {}

    void submit(const std::string &id, const std::string &key, const std::string &hash = "h") {
        registry.submit({id, "org", "booking", key, hash});
    }

    std::vector<claim::claim_decision> drive(claim::claim_registry &it) {
        clock.advance(100ms);
        claim::drive_claims(it, store, ids);
        return it.take_decisions();
    }

    claim::claim_decision decide(const std::string &id, const std::string &key, const std::string &hash = "h") {
        submit(id, key, hash);
        const auto out = drive(registry);
        REQUIRE(out.size() == 1);
        return out.front();
    }
};

} // namespace

// Guards against a second run, another request's response, or a reused key that is taken for a repeat.
TEST_CASE("a key runs once, then its response is replayed") {
    fixture it;
    CHECK(it.decide("r1", "k").verdict == claim_verdict::run);
    CHECK(it.decide("r2", "k").verdict == claim_verdict::in_progress);
    CHECK(it.decide("r3", "k", "other").verdict == claim_verdict::key_reused);
    it.registry.finish("r1", {201, "text/plain", "booked \xff", true});
    const auto repeat = it.decide("r4", "k");
    CHECK(repeat.verdict == claim_verdict::replay);
    CHECK(repeat.answer.body == "booked \xff");
    CHECK(repeat.answer.status == 201);
    CHECK(it.decide("r5", "k", "other").verdict == claim_verdict::key_reused);
}

// Guards against a separate store write for each request.
TEST_CASE("all pending claims of a bucket are committed in one update") {
    fixture it;
    for (int n = 0; n < 500; ++n) {
        it.submit("r" + std::to_string(n), "k" + std::to_string(n));
    }
    CHECK(it.drive(it.registry).size() == 500);
    CHECK(it.store.counters().writes == 1);
    for (int n = 0; n < 500; ++n) {
        it.registry.finish("r" + std::to_string(n), {200, "", "x", true});
    }
    it.drive(it.registry);
    CHECK(it.store.counters().writes == 2);
    it.submit("more", "more");
    CHECK_FALSE(claim::drive_claims(it.registry, it.store, it.ids));
}

// Guards against repeating a request that may have run: its owner has ended, its outcome is unknown or its claim is
// old.
TEST_CASE("a claim without outcome is reported as unknown and never run again") {
    fixture it;
    claim::claim_registry gone{it.clock, {.owner = "gone", .buckets = 1}, {}};
    gone.submit({"g1", "org", "booking", "k", "h"});
    CHECK(it.drive(gone).at(0).verdict == claim_verdict::run);
    CHECK(it.decide("r1", "k").verdict == claim_verdict::unknown);
    CHECK(it.decide("r2", "k2").verdict == claim_verdict::run);
    it.registry.finish_unknown("r2");
    CHECK(it.decide("r3", "k2").verdict == claim_verdict::unknown);
    CHECK(it.decide("r4", "k3").verdict == claim_verdict::run);
    it.registry.on_sealed_windows(10);
    CHECK(it.decide("r5", "k3").verdict == claim_verdict::unknown);
}

// Guards against a key that stays blocked although its request is known not to have run.
TEST_CASE("a request that did not run frees its key") {
    fixture it;
    CHECK(it.decide("r1", "k").verdict == claim_verdict::run);
    it.registry.finish_not_run("r1");
    CHECK(it.decide("r2", "k").verdict == claim_verdict::run);
}

// Guards against a full bucket that loses a claim, or that never accepts claims again.
TEST_CASE("a full bucket refuses claims until old ones expire with sealed windows") {
    fixture it{{.owner = "a", .buckets = 1, .bucket_bytes = 1000}};
    int runs = 0;
    for (int n = 0; n < 10; ++n) {
        runs += it.decide("r" + std::to_string(n), "k" + std::to_string(n)).verdict == claim_verdict::run ? 1 : 0;
    }
    CHECK(runs > 1);
    CHECK(runs < 10);
    const auto full = it.decide("s", "k99");
    CHECK(full.verdict == claim_verdict::refused);
    CHECK(full.reason.code == "claims_full");
    CHECK(it.decide("t", "k0").verdict == claim_verdict::in_progress);
    it.registry.on_sealed_windows(60);
    CHECK(it.decide("u", "k99").verdict == claim_verdict::run);
}

// Guards against a refused request whose claim still takes effect and blocks the key indefinitely.
TEST_CASE("a claim that could not be confirmed is refused and withdrawn") {
    fixture it;
    it.store.set_faults({.lose_answers = true, .stale_reads = true});
    it.submit("r1", "k");
    std::vector<claim::claim_decision> got;
    for (int n = 0; n < 30 && got.empty(); ++n) {
        got = it.drive(it.registry);
    }
    REQUIRE(got.size() == 1);
    CHECK(got[0].verdict == claim_verdict::refused);
    it.store.set_faults({});
    it.drive(it.registry);
    CHECK(it.decide("r2", "k").verdict == claim_verdict::run);
}

// Guards against a delayed copy of a withdrawn claim's write that takes effect.
TEST_CASE("a withdrawal changes the version that a delayed copy expects") {
    fixture it;
    it.store.set_faults({.lose_requests = true});
    it.submit("r1", "k");
    std::vector<claim::claim_decision> got;
    for (int n = 0; n < 30 && got.empty(); ++n) {
        got = it.drive(it.registry);
    }
    REQUIRE(got.size() == 1);
    it.store.set_faults({});
    it.drive(it.registry);
    CHECK(it.store.put("claim/0", "{}", store::absent).error().kind == base::error_kind::conflict);
}

// Guards against a bucket that exceeds the store's size limit because of long responses.
TEST_CASE("long responses are marked as not stored") {
    fixture it;
    CHECK(it.decide("r1", "k").verdict == claim_verdict::run);
    it.registry.finish("r1", {200, "text/plain", std::string(5000, 'x'), true});
    const auto repeat = it.decide("r2", "k");
    CHECK(repeat.verdict == claim_verdict::replay);
    CHECK_FALSE(repeat.answer.complete);
}
