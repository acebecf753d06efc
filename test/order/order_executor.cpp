#include "order/order_executor.hpp"

#include <doctest/doctest.h>

#include "support/order_fixture.hpp"

using namespace dotterelstack;
using testing::order_fixture;

namespace {

struct agent_fixture : order_fixture {
    void store_lease(std::uint64_t fence) {
        const lease::lease_record record{"a", fence, 0, std::chrono::seconds{5}, false};
        put("lease/planner", lease::to_json(record));
    }

    void store_intent(const std::string &id, std::uint64_t fence, order::entry_state state) {
        put("order/e", order::to_json({make(id, "decode"), fence, state, false}));
    }

    void put(const std::string &key, const nlohmann::json &value) {
        const auto found = store.get(key).value();
        REQUIRE(store.put(key, value.dump(), found ? found->version : store::absent));
    }

    base::result<order::order_progress> send(const std::string &id, std::uint64_t fence) {
        return sender.send(make(id, "decode"), fence, [] { return true; });
    }
};

} // namespace

// Guards against an order that reaches the engine without a stored intent, with an old fence or after it was settled.
TEST_CASE("only the open order of the current holder reaches the engine") {
    agent_fixture it;
    CHECK_FALSE(it.send("o1", 5));
    it.store_lease(5);
    CHECK_FALSE(it.send("o1", 5));
    it.store_intent("o1", 5, order::entry_state::settled);
    CHECK_FALSE(it.send("o1", 5));
    it.store_intent("o1", 5, order::entry_state::intended);
    CHECK_FALSE(it.send("o2", 5));
    CHECK_FALSE(it.send("o1", 4));
    CHECK(it.engine.received.empty());
    CHECK(it.send("o1", 5).value() == order::order_progress::accepted);
    CHECK(it.send("o1", 5).value() == order::order_progress::accepted);
    it.engine.finish();
    CHECK(it.send("o1", 5).value() == order::order_progress::done);
    CHECK(it.engine.received.size() == 1);
}

// Guards against orders that are sent while the store cannot be read.
TEST_CASE("no order is sent to the engine while the store is down") {
    agent_fixture it;
    it.store_lease(5);
    it.store_intent("o1", 5, order::entry_state::intended);
    it.store.set_faults({.outage = true});
    CHECK(it.send("o1", 5).error().kind == base::error_kind::refused);
    CHECK(it.engine.received.empty());
}

// Guards against an order that is completed after the agent paused between its lease read and the send.
TEST_CASE("an order whose lease read is too old is not completed") {
    agent_fixture it;
    it.store_lease(5);
    it.store_intent("o1", 5, order::entry_state::intended);
    // The first check is the one of the planner's call; it installs a hook for the check of the agent's call.
    it.wire.before_check = [&] { it.wire.before_check = [&] { it.clock.advance(std::chrono::seconds{1}); }; };
    CHECK_FALSE(it.send("o1", 5));
    CHECK(it.engine.received.empty());
    CHECK(it.send("o1", 5));
}

// Guards against a delayed copy of an order that reaches the engine after the next order.
TEST_CASE("after an unanswered order, and after a start, other orders are refused for a time") {
    agent_fixture it;
    it.store_lease(5);
    it.store_intent("o1", 5, order::entry_state::intended);
    it.wire.delay_request_to = "engine";
    CHECK(it.send("o1", 5).error().kind == base::error_kind::unknown_outcome);
    CHECK(it.send("o1", 5).value() == order::order_progress::accepted);
    it.engine.finish();
    it.store_intent("o2", 5, order::entry_state::intended);
    CHECK_FALSE(it.send("o2", 5));
    it.restart_agent();
    CHECK_FALSE(it.send("o2", 5));
    it.wire.deliver_late();
    it.engine.finish();
    it.clock.advance(std::chrono::seconds{5});
    CHECK(it.send("o2", 5));
    CHECK(it.engine.conflicts == 0);
}
