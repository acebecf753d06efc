#include "gateway/connection_limits.hpp"

#include <doctest/doctest.h>
#include <memory>

#include "gateway/fixture.hpp"

using namespace dotterelstack;

namespace {

struct fixture {
    gateway::connection_limits limits;

    fixture() {
        limits.set_servers(std::vector{test::server("engine-1", "llm"), test::server("desk-1", "desk"),
                                       test::server("other-1", "unknown")});
    }

    void configure() { limits.set_config(std::make_shared<const gateway::traffic_config>(test::sample_values())); }
};

} // namespace

// Guards against gateways that together keep more connections than a server takes.
TEST_CASE("gateways share three quarters of the connections that a server takes") {
    fixture it;
    it.configure();
    it.limits.set_gateways({"a", {"b", "c"}, true});
    const auto all = it.limits.current();
    REQUIRE(all.size() == 2);
    CHECK(all.front().limit == 25);
    it.limits.set_gateways({"a", std::vector<std::string>(300, "b"), true});
    CHECK(it.limits.current().front().limit == 1);
}

// Guards against kept connections where their number is not known, and to servers that leave.
TEST_CASE("no connection is kept without configuration, before gateways are known, or to a server that leaves") {
    fixture it;
    it.limits.set_gateways({"a", {}, true});
    CHECK(it.limits.current().empty());
    it.configure();
    it.limits.set_gateways({"a", {}, false});
    CHECK(it.limits.current().empty());
    it.limits.set_gateways({"a", {}, true});
    auto leaving = test::server("engine-1", "llm");
    leaving.draining = true;
    it.limits.set_servers(std::vector{leaving});
    CHECK(it.limits.current().empty());
}
