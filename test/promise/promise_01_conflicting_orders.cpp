#include <algorithm>
#include <doctest/doctest.h>

#include "support/order_fixture.hpp"

using namespace dotterelstack;
using testing::fake_engine;
using testing::order_fixture;

namespace {

// The naive sender checks the engine's state and sends without recording an intent.
struct naive_sender {
    testing::fake_wire &wire;

    bool send(const std::string &id, const std::string &role) {
        const auto state = wire.call("engine", {"GET", "/v1/state", {}, ""}, {});
        if (nlohmann::json::parse(state.value().body).at("changing").get<bool>()) {
            return false;
        }
        const nlohmann::json body{{"order_id", id}, {"fence", 1}, {"kind", "set_role"}, {"argument", role}};
        return wire.call("engine", {"POST", "/v1/orders", {}, body.dump()}, {}).has_value();
    }
};

struct naive_fixture {
    testing::fake_wire wire;
    fake_engine engine;
    naive_sender sender{wire};

    naive_fixture() {
        wire.handlers["engine"] = [this](const http::request &it) { return engine(it); };
    }
};

} // namespace

// Guards against a planned change and an automatic one that are open for one engine at the same time.
TEST_CASE("promise 1: planned and automatic changes never overlap") {
    naive_fixture naive;
    naive.wire.before_check = [&] {
        // Both senders have read "not changing" before either order arrives.
        const nlohmann::json body{{"order_id", "planned"}, {"kind", "set_role"}, {"argument", "prefill"}};
        (void)naive.engine({"POST", "/v1/orders", {}, body.dump()});
    };
    CHECK(naive.sender.send("automatic", "decode"));
    CHECK(naive.engine.conflicts == 1);

    order_fixture it;
    auto a = it.start("a");
    auto b = it.start("b");
    it.acquire(*a);
    REQUIRE(a->journal.begin(order_fixture::make("planned", "prefill", "planned")));
    CHECK_FALSE(a->journal.begin(order_fixture::make("automatic", "decode")));
    it.drive(*a, 20);
    // A second planner decides otherwise while the planned change is open; the first one has stopped.
    REQUIRE(b->journal.begin(order_fixture::make("automatic", "decode")));
    it.drive(*b, 200);
    CHECK(it.engine.conflicts == 0);
    CHECK(it.engine.received == std::vector<std::string>{"planned"});
    it.engine.finish();
    it.drive(*b, 50);
    const auto results = b->journal.take_results();
    REQUIRE(results.size() == 2);
    CHECK(results[0].how == order::order_result::ending::dropped);
    CHECK(results[1].item.id == "planned");
    REQUIRE(b->journal.begin(order_fixture::make("automatic-2", "decode")));
    it.drive(*b, 50);
    CHECK(it.engine.argument == "decode");
    CHECK(it.engine.conflicts == 0);
}

// Guards against a new order after a lost answer, whose delayed copy then meets it.
TEST_CASE("promise 1: a lost answer is settled before the next order") {
    naive_fixture naive;
    naive.wire.delay_request_to = "engine";
    CHECK_FALSE(naive.sender.send("first", "prefill"));
    CHECK(naive.sender.send("second", "decode"));
    naive.wire.deliver_late();
    CHECK(naive.engine.conflicts == 1);

    order_fixture it;
    auto a = it.start("a");
    it.acquire(*a);
    it.wire.delay_request_to = "engine";
    REQUIRE(a->journal.begin(order_fixture::make("first", "prefill")));
    it.drive(*a, 30);
    it.engine.finish();
    it.drive(*a, 15);
    REQUIRE(a->journal.begin(order_fixture::make("second", "decode")));
    it.drive(*a, 5);
    it.wire.deliver_late();
    it.engine.finish();
    it.drive(*a, 100);
    it.engine.finish();
    it.drive(*a, 20);
    CHECK(it.engine.conflicts == 0);
    CHECK(it.engine.argument == "decode");
}

// Guards against a planner that dies after its intent, or after sending, and a successor that orders something else.
TEST_CASE("promise 1: a successor completes the open intent of a killed planner") {
    for (const bool sent : {false, true}) {
        naive_fixture naive;
        naive.wire.delay_request_to = sent ? "engine" : "";
        if (sent) {
            CHECK_FALSE(naive.sender.send("first", "prefill"));
            CHECK(naive.sender.send("second", "decode"));
            naive.wire.deliver_late();
            CHECK(naive.engine.conflicts == 1);
        }

        order_fixture it;
        auto a = it.start("a");
        it.acquire(*a);
        REQUIRE(a->journal.begin(order_fixture::make("first", "prefill")));
        it.drive(*a, sent ? 3 : 2);
        CHECK(it.engine.received.size() == (sent ? 1 : 0));
        auto b = it.start("b");
        REQUIRE(b->journal.begin(order_fixture::make("second", "decode")));
        it.drive(*b, 150);
        CHECK(it.engine.received == std::vector<std::string>{"first"});
        it.engine.finish();
        it.drive(*b, 20);
        CHECK(b->journal.entry()->item.id == "first");
        CHECK(b->journal.entry()->state == order::entry_state::settled);
        CHECK(b->journal.entry()->fence > 0);
        CHECK(it.engine.conflicts == 0);
    }
}
