#include <algorithm>
#include <doctest/doctest.h>

#include "support/order_fixture.hpp"

using namespace dotterelstack;
using testing::order_fixture;

namespace {

// The naive agent remembers the highest fence in memory only and does not read the lease.
struct naive_agent {
    testing::fake_engine &engine;
    std::uint64_t highest{0};

    http::response operator()(const http::request &message) {
        const auto fence = nlohmann::json::parse(message.body).at("fence").get<std::uint64_t>();
        if (fence < highest) {
            return {409, {}, "{}"};
        }
        highest = fence;
        return engine({"POST", "/v1/orders", {}, message.body});
    }
};

http::request order_request(const std::string &id, std::uint64_t fence) {
    const nlohmann::json body{
        {"order_id", id}, {"fence", fence}, {"backend", "e"}, {"kind", "set_role"}, {"argument", "decode"}};
    return {"POST", "/order", {}, body.dump()};
}

} // namespace

// Guards against a holder that is paused between its lease check and its order.
TEST_CASE("promise 3: the order of a holder paused before its last check has no effect") {
    order_fixture naive;
    naive_agent forgetful{naive.engine};
    naive.wire.handlers["naive"] = [&](const http::request &message) { return forgetful(message); };
    auto former = naive.start("a");
    auto successor = naive.start("b");
    naive.acquire(*former);
    const auto fence = former->lease_state.authority()->fence();
    if (former->lease_state.held()) {
        // The pause after the check: the successor takes over, but its first order has not reached the agent yet.
        naive.acquire(*successor);
        CHECK(naive.wire.call("naive", order_request("stale", fence), {}).value().status == 200);
    }
    CHECK(successor->lease_state.held());
    CHECK(naive.engine.received.size() == 1);

    order_fixture with;
    auto a = with.start("a");
    auto b = with.start("b");
    with.acquire(*a);
    REQUIRE(a->journal.begin(order_fixture::make("stale", "decode")));
    bool paused = false;
    with.wire.before_check = [&] {
        paused = true;
        with.acquire(*b);
    };
    with.drive(*a, 3);
    CHECK(paused);
    CHECK(b->lease_state.held());
    CHECK(with.engine.received.empty());
}

// Guards against the pause that the sender cannot see: after its last check, before the last byte.
TEST_CASE("promise 3: an agent, also a restarted one, rejects the order of a former holder") {
    for (const bool restarted : {false, true}) {
        order_fixture it;
        naive_agent remembering{it.engine};
        const auto newer = remembering(order_request("newer", 9));
        CHECK(newer.status == 200);
        it.engine.finish();
        naive_agent after{it.engine, restarted ? 0 : remembering.highest};
        const auto naive_status = after(order_request("stale", 4)).status;
        CHECK(naive_status == (restarted ? 200 : 409));

        order_fixture with;
        auto a = with.start("a");
        auto b = with.start("b");
        with.acquire(*a);
        REQUIRE(a->journal.begin(order_fixture::make("stale", "decode")));
        bool paused = false;
        with.wire.after_check = [&] {
            paused = true;
            with.acquire(*b);
            with.drive(*b, 20);
            with.engine.finish();
            with.drive(*b, 20);
            REQUIRE(b->journal.begin(order_fixture::make("newer", "prefill")));
            with.drive(*b, 20);
            // An engine that is still changing would be left alone for that reason only.
            with.engine.finish();
            with.drive(*b, 20);
            if (restarted) {
                with.restart_agent();
                with.clock.advance(std::chrono::seconds{5});
            }
        };
        with.drive(*a, 3);
        CHECK(paused);
        CHECK(with.engine.argument == "prefill");
        CHECK(with.engine.received == std::vector<std::string>{"stale", "newer"});
        CHECK(with.engine.conflicts == 0);
    }
}
