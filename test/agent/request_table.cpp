#include "agent/request_table.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace dotterelstack::agent;
using namespace std::chrono_literals;

// Guards against a cancelled request that starts when a delayed copy of it arrives.
TEST_CASE("a request cancelled before it arrived never starts") {
    base::manual_clock clock;
    request_table it{clock, "i1", 60s};
    CHECK(it.cancel("r", "i1") == cancel_outcome::never_starts);
    clock.advance(59s);
    CHECK(it.admit("r", 1, "i1") == admit_decision::cancelled);
    CHECK(it.running() == 0);
}

// Guards against reporting a request as not run although it was sent to the backend server.
TEST_CASE("a cancellation after the start reports that the request started or finished") {
    base::manual_clock clock;
    request_table it{clock, "i1", 60s};
    CHECK(it.admit("r", 1, "i1") == admit_decision::start);
    CHECK(it.admit("r", 1, "i1") == admit_decision::duplicate);
    CHECK(it.cancel("r", "i1") == cancel_outcome::started);
    it.finish("r", 1);
    CHECK(it.cancel("r", "i1") == cancel_outcome::finished);
    CHECK(it.running() == 0);
}

// Guards against a restarted agent that runs a request addressed to its previous incarnation or reports it as not run.
TEST_CASE("requests for another incarnation are rejected and their outcome is reported as unknown") {
    base::manual_clock clock;
    request_table it{clock, "i2", 60s};
    CHECK(it.admit("r", 1, "i1") == admit_decision::wrong_incarnation);
    CHECK(it.cancel("r", "i1") == cancel_outcome::other_incarnation);
}

// Guards against unbounded memory use, and against discarding the record of a running request.
TEST_CASE("finished requests are removed after the retention time, running ones are kept") {
    base::manual_clock clock;
    request_table it{clock, "i1", 60s};
    CHECK(it.admit("ended", 1, "i1") == admit_decision::start);
    it.finish("ended", 1);
    CHECK(it.admit("running", 1, "i1") == admit_decision::start);
    clock.advance(61s);
    CHECK(it.admit("next", 1, "i1") == admit_decision::start);
    CHECK(it.size() == 2);
    CHECK(it.admit("running", 1, "i1") == admit_decision::duplicate);
}

// Guards against new requests that start on a draining agent.
TEST_CASE("draining rejects new requests and keeps running ones") {
    base::manual_clock clock;
    request_table it{clock, "i1", 60s};
    CHECK(it.admit("a", 1, "i1") == admit_decision::start);
    it.set_draining(true);
    CHECK(it.admit("b", 1, "i1") == admit_decision::draining);
    CHECK(it.running() == 1);
}
