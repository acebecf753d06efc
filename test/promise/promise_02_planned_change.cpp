#include <csignal>
#include <doctest/doctest.h>
#include <set>

#include "support/site.hpp"
#include "support/stream_set.hpp"

using namespace dotterelstack;
using test::eventually;
using test::stream_set;

namespace {

constexpr std::size_t tokens = 120;
constexpr std::size_t stream_count = 8;
const std::vector<std::string> slow_engine{"--tokens-per-second", "40"};

/** Requests that engine 0 takes out of `count` new ones, all of which have to succeed. */
std::size_t taken_by_first(const test::site &it, std::size_t count) {
    const auto before = it.requests_at(0);
    for (std::size_t n = 0; n < count; ++n) {
        CHECK(it.complete(0, "new work " + std::to_string(n), 1).status == 200);
    }
    return it.requests_at(0) - before;
}

bool busy(const test::site &it, std::size_t engine) {
    return it.backend_get(engine, "/v1/state").value("running", 0) > 0;
}

} // namespace

// Shows that the check can fail: an order that changes the engine's role without a drain cuts the streams on it.
TEST_CASE("promise 2: a role change without a drain cuts streams") {
    test::site it{{.engines = 1, .services = 0, .engine_arguments = {slow_engine}}};
    const stream_set streams{it.backend_address(0), "", "naive", stream_count, tokens};
    const auto order = test::site::send(
        it.backend_address(0),
        {"POST", "/v1/orders", {}, R"({"order_id":"o","fence":1,"kind":"set_role","argument":"decode"})"});
    CHECK(order.status == 200);
    CHECK(streams.count_whole() == 0);
    CHECK(it.backend_get(0, "/v1/state").at("interrupted").get<std::size_t>() > 0);
}

// Guards against a drain that cuts running streams, and against one that does not keep new work away.
TEST_CASE("promise 2: a drained host finishes its streams while new work goes elsewhere") {
    test::site it{{.engines = 2, .services = 0, .engine_arguments = {slow_engine}}};
    // Without a drain both engines take new work; otherwise the check after the drain would say nothing.
    REQUIRE(taken_by_first(it, 20) > 0);
    const stream_set streams{it.callers(), it.key(), "drain", stream_count, tokens};
    REQUIRE(busy(it, 0));
    REQUIRE(busy(it, 1));
    const auto done = it.command({"drain", "--host", it.host_name(0)});
    CAPTURE(done.errors);
    REQUIRE(done.code == 0);
    CHECK(eventually([&] { return taken_by_first(it, 10) == 0; }, test::within_seconds));
    CHECK(taken_by_first(it, 20) == 0);
    CHECK(streams.count_whole() == stream_count);
    CHECK(it.backend_get(0, "/v1/state").at("interrupted") == 0);
    CHECK(eventually([&] { return !busy(it, 0); }));
    CHECK(taken_by_first(it, 20) == 0);
}

// Guards against a host that stays out of service after the operator has cancelled the drain.
TEST_CASE("promise 2: a cancelled drain lets the host work again and cuts nothing") {
    test::site it{{.engines = 2, .services = 0, .engine_arguments = {slow_engine}}};
    const stream_set streams{it.callers(), it.key(), "cancel", stream_count, tokens};
    const auto asked = it.command({"drain", "--backend", "backend-" + it.host_name(0)});
    CAPTURE(asked.errors);
    REQUIRE(asked.code == 0);
    REQUIRE(eventually([&] { return taken_by_first(it, 10) == 0; }));
    const auto listed = it.command({"status"});
    CAPTURE(listed.output);
    CAPTURE(listed.errors);
    const auto at = listed.output.find("planned ");
    REQUIRE(at != std::string::npos);
    const auto begin = at + std::string_view{"planned "}.size();
    const auto id = listed.output.substr(begin, listed.output.find(' ', begin) - begin);
    REQUIRE(it.command({"drain", "--cancel", id}).code == 0);
    CHECK(eventually([&] { return taken_by_first(it, 10) > 0; }));
    CHECK(streams.count_whole() == stream_count);
}

// Guards against an order that reaches an engine while it works, or twice: the planner drains first, then orders once.
TEST_CASE("promise 2: a planned role change waits for the streams and is ordered once") {
    std::vector<std::string> arguments = slow_engine;
    arguments.insert(arguments.end(), {"--role-change-ms", "200"});
    test::site it{{.engines = 2, .services = 0, .entries = 2, .engine_arguments = {arguments}}};
    const stream_set streams{it.callers(), it.key(), "role", stream_count, tokens};
    REQUIRE(busy(it, 0));
    const auto asked = it.command({"drain", "--backend", "backend-" + it.host_name(0), "--set-role", "prefill"});
    CAPTURE(asked.errors);
    REQUIRE(asked.code == 0);
    CHECK(eventually([&] { return it.command({"status"}).output.find(" done by ") != std::string::npos; }));
    CHECK(streams.count_whole() == stream_count);
    const auto state = it.backend_get(0, "/v1/state");
    CHECK(state.at("interrupted") == 0);
    CHECK(state.at("role") == "prefill");
    // Both entries are candidates for the planner's lease; only one of them gives the order, under its fence.
    const auto orders = it.backend_get(0, "/v1/orders").at("orders");
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].at("fence").get<std::uint64_t>() > 0);
}

// Guards against a change that is forgotten, or ordered again, when the planner is killed in the middle of it.
TEST_CASE("promise 1: a role change goes on under the next planner when entries are killed") {
    std::vector<std::string> arguments = slow_engine;
    arguments.insert(arguments.end(), {"--role-change-ms", "200"});
    test::site it{{.engines = 2,
                   .services = 0,
                   .entries = 2,
                   .engine_arguments = {arguments},
                   .entry_overrides = {"timings.lease_term_ms=2000", "timings.lease_margin_ms=500"}}};
    const auto asked = it.command({"drain", "--backend", "backend-" + it.host_name(0), "--set-role", "prefill"});
    CAPTURE(asked.errors);
    REQUIRE(asked.code == 0);
    // Whichever entry holds the lease, it is killed in one of the two rounds.
    it.entry(0).signal(SIGKILL);
    const auto fresh = it.start_entry();
    CHECK(eventually([&] { return it.version_of(fresh) >= 2; }));
    it.entry(1).signal(SIGKILL);
    CHECK(eventually([&] { return it.backend_get(0, "/v1/state").at("role") == "prefill"; }));
    CHECK(eventually([&] { return it.command({"status"}).output.find(" done by ") != std::string::npos; }));
    std::set<std::string> ids;
    const auto orders = it.backend_get(0, "/v1/orders").at("orders");
    for (const auto &order : orders) {
        ids.insert(order.at("order_id").get<std::string>());
    }
    CHECK(ids.size() == 1);
}
