#include <cstddef>
#include <doctest/doctest.h>
#include <string>

#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Engines that serve urgent checks and less urgent reviews, and whose answers take longer than estimated. */
struct slow_engines : test::forwarder_fixture {
    slow_engines() {
        auto values = test::sample_values();
        values.organisations->front().priority.reset();
        values.routes[0].priority = 2;
        values.routes[0].latency_objective = 1200ms;
        values.routes[0].timeout = 5s;
        values.routes[1].priority = 0;
        values.routes[1].latency_objective = 500ms;
        configure(std::move(values));
        populate();
    }

    /** Sends checks together, and answers all of them after some time. */
    void serve_checks(std::size_t n, base::duration time) {
        const auto first = backends.calls.size();
        for (std::size_t it = 0; it < n; ++it) {
            (void)send("/query/1");
        }
        REQUIRE(backends.calls.size() == first + n);
        clock.advance(time);
        for (std::size_t it = first; it < first + n; ++it) {
            const auto call = backends.calls[it].call;
            subject.on_head(call, 200,
                            {{"Content-Type", "text/event-stream"},
                             {"Attempt-Id", "a1"},
                             {"Response-Signature", "s"},
                             {"Transfer-Encoding", "chunked"}});
            subject.on_data(call, "id: 1\ndata: x\n\n");
            subject.on_end(call, gateway::call_end::complete, {200, {}, ""});
        }
    }
};

} // namespace

// A flood of checks has lengthened the queues so far that checks are just in time. Guards against reviews that take
// this room because their own callers have more time.
TEST_CASE("less urgent requests leave the room that urgent ones need, down to their floor") {
    slow_engines it;
    it.serve_checks(10, 340ms);
    const auto n = it.backends.calls.size();
    (void)it.send("/draft/1");
    REQUIRE(it.backends.calls.size() == n + 1);
    (void)it.send("/draft/2");
    CHECK(it.backends.calls.size() == n + 1);
    (void)it.send("/query/1");
    CHECK(it.backends.calls.size() == n + 2);
    // The second review got no room, so the next ones are below the floor.
    (void)it.send("/draft/3");
    CHECK(it.backends.calls.size() == n + 3);
}

// Guards against a reserve while there is room for all.
TEST_CASE("with answers as estimated, requests of all urgencies are placed at once") {
    slow_engines it;
    it.serve_checks(10, 40ms);
    const auto n = it.backends.calls.size();
    for (int draft = 0; draft < 5; ++draft) {
        (void)it.send("/draft/1");
    }
    CHECK(it.backends.calls.size() == n + 5);
}

// All answers of the last second took longer than the objective. Guards against estimates that do not notice, with
// which servers are filled with work that comes too late, and against refusals that come at the deadline only.
TEST_CASE("requests that would be late by the measured times wait, and are refused early and as not run") {
    slow_engines it;
    it.serve_checks(20, 900ms);
    const auto n = it.backends.calls.size();
    const auto waiting = it.send("/query/1");
    CHECK(it.backends.calls.size() == n);
    CHECK(waiting->status() == 0);
    it.clock.advance(1s);
    it.subject.tick();
    CHECK(it.backends.calls.size() == n);
    CHECK(waiting->status() == 503);
    REQUIRE(waiting->answers.size() == 1);
    CHECK(waiting->answers[0].body.find(R"("ran":"no")") != std::string::npos);
    CHECK(std::stod(waiting->field("Retry-After")) > 0);
}

// A plain service sheds what exceeds its queue. Guards against a gateway that knows only its own requests, and goes on
// to send each request to every server in turn.
TEST_CASE("a server that has rejected a request gets none while its queue lasts") {
    test::forwarder_fixture it;
    it.configure();
    it.populate();
    const auto first = it.send("/read/1");
    const auto server = it.last().address;
    it.answer(503, test::not_executed);
    REQUIRE(it.last().address != server);
    it.answer(200, test::signed_answer);
    CHECK(first->status() == 200);
    for (int n = 0; n < 4; ++n) {
        (void)it.send("/read/2");
        CHECK(it.last().address != server);
    }
    it.clock.advance(1100ms);
    (void)it.send("/read/3");
    CHECK(it.last().address == server);
}
