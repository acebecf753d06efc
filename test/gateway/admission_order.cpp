#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Two plain servers with one slot and one queue place each, an urgent route and a less urgent one. */
struct small_service : test::forwarder_fixture {
    small_service() {
        auto values = test::sample_values();
        values.routes[2].priority = 2;
        values.routes[3].priority = 0;
        values.organisations->front().priority.reset();
        values.organisations->push_back({"small", {"key-small"}, std::nullopt});
        configure(std::move(values));
        subject.on_backends({test::server("desk-1", "desk", gateway::engine_stage::none, 1),
                             test::server("desk-2", "desk", gateway::engine_stage::none, 1)});
    }

    /** Sends requests until all places are taken. */
    void fill() {
        for (int n = 0; n < 4; ++n) {
            (void)send("/book/filling");
        }
        REQUIRE(backends.calls.size() == 4);
    }

    /** Answers the earliest open call, which gives its place to a waiting request. */
    void free_place() {
        const auto call = backends.calls.at(answered++).call;
        subject.on_head(call, 200, test::signed_answer);
        subject.on_end(call, gateway::call_end::complete, {200, test::signed_answer, ""});
    }

    [[nodiscard]] std::string last_path() const { return backends.calls.back().message.target; }

    std::size_t answered{0};
};

} // namespace

// All servers pause, an urgent request waits, and a less urgent one arrives just after the pause. Guards against
// arrivals that go ahead of what waits.
TEST_CASE("a new request is not placed ahead of more urgent ones that wait") {
    small_service it;
    (void)it.send("/read/pausing", {}, "key-ward");
    it.answer(503, {{"Not-Executed", "1"}, {"Retry-After", "0.1"}});
    it.answer(503, {{"Not-Executed", "1"}, {"Retry-After", "0.1"}});
    const auto n = it.backends.calls.size();
    (void)it.send("/read/1");
    REQUIRE(it.backends.calls.size() == n);
    it.clock.advance(110ms);
    (void)it.send("/book/late");
    CHECK(it.backends.calls.size() == n);
    it.subject.tick();
    REQUIRE(it.backends.calls.size() == n + 2);
    CHECK(it.backends.calls[n].message.target == "/read/1");
    CHECK(it.backends.calls[n + 1].message.target == "/book/late");
}

// Guards against more urgent arrivals that queue behind less urgent ones.
TEST_CASE("a more urgent request is placed before less urgent ones that came earlier") {
    small_service it;
    it.fill();
    (void)it.send("/book/first");
    (void)it.send("/read/second");
    it.free_place();
    CHECK(it.last_path() == "/read/second");
    it.free_place();
    CHECK(it.last_path() == "/book/first");
}

// A large organisation has many requests waiting when a small one sends one. Guards against order by arrival alone.
TEST_CASE("a small organisation is served before the backlog of a large one") {
    small_service it;
    it.fill();
    for (int n = 0; n < 3; ++n) {
        (void)it.send("/book/large");
    }
    (void)it.send("/book/small", {}, "key-small");
    std::vector<std::string> order;
    for (int n = 0; n < 4; ++n) {
        it.free_place();
        order.push_back(it.last_path());
    }
    CHECK(order[0] == "/book/small");
    CHECK(order[3] == "/book/large");
}

// The request that waits first is refused or given up. Guards against a line that stays blocked by it.
TEST_CASE("a line is open again when the request that blocked it has left") {
    small_service it;
    it.fill();
    const auto waiting = it.send("/read/1");
    for (int n = 0; n < 4; ++n) {
        it.free_place();
    }
    REQUIRE(it.backends.calls.size() == 5);
    (void)it.send("/book/2");
    CHECK(it.backends.calls.size() == 6);
}
