#include "gateway/backend_table.hpp"

#include <doctest/doctest.h>

#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using gateway::attempt_outcome;

namespace {

struct fixture {
    base::manual_clock clock;
    gateway::backend_table subject{clock};

    fixture() { subject.update({test::server("a", "desk"), test::server("b", "desk")}); }

    [[nodiscard]] const gateway::backend_state &state(std::string_view id) const { return *subject.find(id); }
};

} // namespace

// Guards against counting only this gateway's requests although the backend server reports those of all gateways.
TEST_CASE("reported load is adjusted by own attempts since the report") {
    fixture it;
    it.subject.started("a", 0);
    it.subject.reported("a", {5, 2, 6});
    CHECK(it.subject.outstanding(it.state("a")) == 7);
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::answered);
    it.subject.ended("a", attempt_outcome::answered);
    CHECK(it.subject.outstanding(it.state("a")) == 6);
    it.clock.advance(2s);
    CHECK(it.subject.outstanding(it.state("a")) == 0);
}

// A host becomes unreachable. Guards against every request waiting for a connection that never opens.
TEST_CASE("an unreachable backend server backs off, then gets a single probe request") {
    fixture it;
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::unreachable);
    CHECK(it.subject.available("desk").size() == 1);
    it.clock.advance(301ms);
    CHECK(it.subject.available("desk").size() == 2);
    it.subject.started("a", 0);
    CHECK(it.subject.available("desk").size() == 1);
    it.subject.ended("a", attempt_outcome::unreachable);
    it.clock.advance(301ms);
    CHECK(it.subject.available("desk").size() == 1);
    it.clock.advance(300ms);
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::answered);
    CHECK(it.subject.available("desk").size() == 2);
}

// Overload with long prompts through six gateways. Guards against estimating the pending prefill of other gateways as
// six times the own one: an engine with an own prompt would look overloaded, every other engine idle.
TEST_CASE("pending prefill of other gateways is inferred from the reported load") {
    base::manual_clock clock;
    gateway::backend_table it{clock};
    it.update({test::server("busy", "llm", gateway::engine_stage::decode, 12),
               test::server("idle", "llm", gateway::engine_stage::decode, 12)});
    // At any time, half of the own requests have a pending prefill of 4,000 tokens.
    for (int n = 0; n < 400; ++n) {
        it.started("idle", 4000);
        it.started("idle", 4000);
        it.prefill_done("idle", 4000);
        it.started("idle", 0);
        it.prefill_done("idle", 4000);
        for (int k = 0; k < 3; ++k) {
            it.ended("idle", gateway::attempt_outcome::answered);
        }
    }
    it.reported("busy", {.running = 6, .waiting = 0, .slots = 12});
    it.reported("idle", {.running = 0, .waiting = 0, .slots = 12});
    const auto busy = it.pending_prefill_tokens(*it.find("busy"));
    CHECK(busy > 6 * 1000);
    CHECK(busy < 6 * 4000);
    CHECK(it.pending_prefill_tokens(*it.find("idle")) == 0);
    it.started("idle", 4000);
    CHECK(it.pending_prefill_tokens(*it.find("idle")) == 4000);
    // With thirty other gateways, reports from one engine are rare. Guards against treating a missing report as idle.
    it.set_gateways(31);
    clock.advance(2s);
    const auto silent = it.pending_prefill_tokens(*it.find("busy"));
    // 15 requests of other gateways on average, a quarter of which is assumed.
    CHECK(silent > 15 * 1000 / 4);
    CHECK(silent < 15 * 4000 / 4);
}

// Guards against missing a server whose answers are half errors while its health check passes.
TEST_CASE("the failure rate follows recent answers and decays") {
    fixture it;
    for (int n = 0; n < 20; ++n) {
        it.subject.started("a", 0);
        it.subject.ended("a", n % 2 == 0 ? attempt_outcome::server_error : attempt_outcome::answered);
    }
    CHECK(it.subject.failure_rate(it.state("a")) == doctest::Approx(10.0 / 22.0));
    CHECK(it.subject.failure_rate(it.state("b")) == 0);
    it.clock.advance(30s);
    CHECK(it.subject.failure_rate(it.state("a")) < 0.01);
}

// Guards against applying the load and back-off of an earlier incarnation to the next one.
TEST_CASE("a new incarnation starts without load, failures or back-off") {
    fixture it;
    it.subject.started("a", 100);
    it.subject.ended("a", attempt_outcome::unreachable);
    auto again = test::server("a", "desk");
    again.incarnation_start_ms = 5;
    it.subject.update({again});
    CHECK(it.subject.available("desk").size() == 1);
    CHECK(it.subject.failure_rate(it.state("a")) == 0);
    CHECK(it.subject.find("b") == nullptr);
}

// Guards against new requests at a backend server that is draining.
TEST_CASE("draining backend servers are not available") {
    fixture it;
    auto leaving = test::server("a", "desk");
    leaving.draining = true;
    it.subject.update({leaving});
    CHECK(it.subject.available("desk").empty());
    CHECK_FALSE(it.subject.any_accepting());
}

// Guards against a stale entry, or one that vanishes and returns, that brings a leaving server back; and against
// shutting out the process that is started under the same id.
TEST_CASE("a server that said that it is leaving is not used again until a later incarnation appears") {
    fixture it;
    auto a = test::server("a", "desk");
    const auto b = test::server("b", "desk");
    a.incarnation_start_ms = 5;
    it.subject.update({a, b});
    it.subject.noticed({"a", 5}, {.leaving = true}, it.clock.now());
    CHECK(it.subject.available("desk").size() == 1);
    CHECK(it.subject.any_accepting());
    it.subject.update({b});
    it.clock.advance(1min);
    it.subject.update({a, b});
    CHECK_FALSE(it.subject.accepts(it.state("a")));
    CHECK(it.subject.available("desk").size() == 1);
    a.incarnation_start_ms = 6;
    it.subject.update({a, b});
    CHECK(it.subject.accepts(it.state("a")));
    CHECK(it.subject.available("desk").size() == 2);
}

// Guards against a probe in a pause, against a shorter pause that ends a longer one, and against a pause that outlives
// its server.
TEST_CASE("a server that asks for a pause is not available until the longest of its pauses ends") {
    fixture it;
    it.subject.noticed({"a"}, {.pause = 5s}, it.clock.now());
    it.subject.noticed({"a"}, {.pause = 1s}, it.clock.now());
    CHECK(it.subject.available("desk").size() == 1);
    CHECK(it.subject.accepts(it.state("a")));
    it.clock.advance(4900ms);
    CHECK(it.subject.available("desk").size() == 1);
    it.subject.update({test::server("b", "desk")});
    it.subject.update({test::server("a", "desk"), test::server("b", "desk")});
    CHECK(it.subject.available("desk").size() == 1);
    it.subject.noticed({"b"}, {.pause = 3s}, it.clock.now());
    CHECK(it.subject.opens_in("desk", {}) == 100ms);
    it.clock.advance(100ms);
    CHECK(it.subject.available("desk").size() == 1);
    it.subject.noticed({"a"}, {.pause = 1min}, it.clock.now());
    auto next = test::server("a", "desk");
    next.incarnation_start_ms = 7;
    it.subject.update({next, test::server("b", "desk")});
    CHECK(it.subject.available("desk").size() == 1);
    CHECK_FALSE(it.subject.pausing(it.state("a")));
}

// Guards against a limit that a late answer from before it ends, or that another incarnation inherits.
TEST_CASE("a limit lasts until an answer that was asked for after it was last named does not name it") {
    fixture it;
    it.subject.set_limit_sharers({.own = "gateways/1", .listed = true});
    const auto before = it.clock.now();
    it.clock.advance(100ms);
    it.subject.noticed({"a"}, {.limit = 2.0}, before);
    CHECK(it.subject.available("desk").size() == 1);
    CHECK(it.subject.opens_in("desk", {}) == 500ms);
    it.subject.noticed({"a"}, {.ends_limit = true}, before);
    CHECK(it.subject.available("desk").size() == 1);
    it.clock.advance(500ms);
    CHECK(it.subject.use_limit(it.state("a")) == gateway::limit_use::counted);
    CHECK(it.subject.use_limit(it.state("a")) == gateway::limit_use::exceeded);
    CHECK(it.subject.use_limit(it.state("b")) == gateway::limit_use::unlimited);
    CHECK(it.subject.available("desk").size() == 1);
    // A higher limit holds at once.
    it.subject.noticed({"a"}, {.limit = 100.0}, it.clock.now());
    it.clock.advance(10ms);
    CHECK(it.subject.available("desk").size() == 2);
    it.subject.noticed({"a"}, {.limit = 2.0}, it.clock.now());
    CHECK(it.subject.available("desk").size() == 1);
    SUBCASE("an answer ends it") {
        it.clock.advance(1ms);
        it.subject.noticed({"a"}, {.ends_limit = true}, it.clock.now());
    }
    SUBCASE("another incarnation has none") {
        auto again = test::server("a", "desk");
        again.incarnation_start_ms = 5;
        it.subject.update({again, test::server("b", "desk")});
        it.subject.noticed({"a", 0}, {.limit = 2.0}, it.clock.now());
    }
    CHECK(it.subject.available("desk").size() == 2);
}
