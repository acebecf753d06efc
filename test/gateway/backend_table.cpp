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

// Guards against counting only the requests of this gateway while the backend server tells of all.
TEST_CASE("reported load is corrected by what happened since") {
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

// Pattern: a host goes dark. Guards against every request waiting for a connection that never opens.
TEST_CASE("an unreachable backend server is paused, then tried with one request") {
    fixture it;
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::unreachable);
    CHECK(it.subject.open("desk").size() == 1);
    it.clock.advance(301ms);
    CHECK(it.subject.open("desk").size() == 2);
    it.subject.started("a", 0);
    CHECK(it.subject.open("desk").size() == 1);
    it.subject.ended("a", attempt_outcome::unreachable);
    it.clock.advance(301ms);
    CHECK(it.subject.open("desk").size() == 1);
    it.clock.advance(300ms);
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::answered);
    CHECK(it.subject.open("desk").size() == 2);
}

// Pattern: a flood of long prompts through six gateways. Guards against an estimate of the others' unread prompts that
// is six times the own ones: where this gateway happens to have one, the engine looks overloaded, elsewhere idle.
TEST_CASE("unread prompts of other gateways are inferred from the reported load") {
    base::manual_clock clock;
    gateway::backend_table it{clock};
    it.update({test::server("busy", "llm", gateway::engine_stage::decode, 12),
               test::server("idle", "llm", gateway::engine_stage::decode, 12)});
    // Half of the own requests at any time have a prompt of 4,000 tokens to be read.
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
    // Pattern: thirty gateways, so that none hears from an engine often. Guards against taking silence for idleness.
    it.set_gateways(31);
    clock.advance(2s);
    const auto silent = it.pending_prefill_tokens(*it.find("busy"));
    // 15 requests of others by the mean, a quarter of them assumed.
    CHECK(silent > 15 * 1000 / 4);
    CHECK(silent < 15 * 4000 / 4);
}

// Pattern: half of the answers of one server are errors while its health check is good.
TEST_CASE("the failure rate follows recent answers and fades") {
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

// Guards against load and pauses of a former incarnation that stick to its successor.
TEST_CASE("a new incarnation starts without load, failures or pause") {
    fixture it;
    it.subject.started("a", 100);
    it.subject.ended("a", attempt_outcome::unreachable);
    auto again = test::server("a", "desk");
    again.incarnation_start_ms = 5;
    it.subject.update({again});
    CHECK(it.subject.open("desk").size() == 1);
    CHECK(it.subject.failure_rate(it.state("a")) == 0);
    CHECK(it.subject.find("b") == nullptr);
}

// Guards against new work for a backend server that is leaving.
TEST_CASE("draining backend servers are not open") {
    fixture it;
    auto leaving = test::server("a", "desk");
    leaving.draining = true;
    it.subject.update({leaving});
    CHECK(it.subject.open("desk").empty());
    CHECK_FALSE(it.subject.any_accepting());
}
