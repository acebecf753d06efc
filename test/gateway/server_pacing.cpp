#include <doctest/doctest.h>

#include "gateway/backend_table.hpp"
#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using gateway::attempt_outcome;

namespace {

/** A gateway among 31 before a service whose servers report how long work takes. */
struct fixture {
    base::manual_clock clock;
    gateway::backend_table subject{clock};

    explicit fixture(bool shared_hosts = true) {
        gateway::gateway_group group{.own = "gateways/0", .listed = true};
        for (int n = 1; n < 31; ++n) {
            group.others.push_back("gateways/" + std::to_string(n));
        }
        subject.set_limit_sharers(group);
        subject.update({server("a", 1)});
        subject.reported(
            "a",
            {.running = 1, .waiting = 0, .slots = 16, .work_factor = shared_hosts ? std::optional{1.0} : std::nullopt});
        clock.advance(10s);
    }

    static gateway::backend_server server(const std::string &id, std::uint64_t start_ms) {
        auto out = test::server(id, "desk");
        out.slots = 16;
        out.incarnation_start_ms = start_ms;
        return out;
    }

    void start_second() { subject.update({server("a", 1), server("b", 2)}); }

    [[nodiscard]] std::size_t available() const { return subject.available("desk").size(); }
};

} // namespace

// Load: a server starts before a gateway that has much to send. Guards against sending it all at once.
TEST_CASE("a server that has started gets few requests of a gateway, then more with its answers") {
    fixture it;
    CHECK(it.available() == 1);
    it.start_second();
    it.clock.advance(200ms);
    REQUIRE(it.available() == 2);
    it.subject.started("b", 0);
    CHECK(it.available() == 1);
    CHECK(it.subject.opens_in("desk", {}).has_value());
    it.subject.timed("b", 1.0);
    it.subject.ended("b", attempt_outcome::answered);
    it.subject.started("b", 0);
    CHECK(it.available() == 2);
    it.subject.started("b", 0);
    CHECK(it.available() == 1);
    it.clock.advance(5s);
    CHECK(it.available() == 2);
    CHECK(it.subject.paced() == 1);
    it.subject.ended("b", attempt_outcome::answered);
    CHECK(it.subject.paced() == 0);
}

// Guards against pacing the fleet when the gateway starts, and where servers do not share their hosts.
TEST_CASE("servers that were there first are not paced, nor those of other services") {
    fixture it;
    CHECK(it.subject.paced() == 0);
    fixture dedicated{false};
    dedicated.start_second();
    CHECK(dedicated.subject.paced() == 0);
    CHECK(dedicated.available() == 2);
}

// Load: a server answers again after it could not be reached. Guards against the queue of a gateway going there at
// once, and against a second incarnation under the same id that is taken for the first one.
TEST_CASE("a server that has recovered or started again is paced") {
    fixture it;
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::unreachable);
    it.clock.advance(300ms);
    it.subject.started("a", 0);
    it.subject.ended("a", attempt_outcome::answered);
    CHECK(it.subject.paced() == 1);
    it.clock.advance(6s);
    it.subject.update({fixture::server("a", 3)});
    it.clock.advance(200ms);
    REQUIRE(it.available() == 1);
    it.subject.started("a", 0);
    CHECK(it.available() == 0);
    it.subject.ended("a", attempt_outcome::full);
    CHECK(it.available() == 0);
    it.clock.advance(200ms);
    CHECK(it.available() == 1);
}
