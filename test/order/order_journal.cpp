#include "order/order_journal.hpp"

#include <doctest/doctest.h>

#include "support/order_fixture.hpp"

using namespace dotterelstack;
using testing::order_fixture;

// Guards against an order that is sent before its intent is stored, or settled before the engine has finished.
TEST_CASE("an order is stored, sent, polled and settled") {
    order_fixture it;
    auto a = it.start("a");
    it.acquire(*a);
    REQUIRE(a->journal.begin(order_fixture::make("o1", "decode")));
    bool stored_first = false;
    it.wire.before_check = [&] {
        const auto found = it.store.get("order/e").value();
        stored_first = found && order::parse_entry(*found).value().item.id == "o1";
    };
    it.drive(*a, 30);
    CHECK(stored_first);
    CHECK(a->journal.entry()->state == order::entry_state::sent);
    CHECK(a->journal.begin(order_fixture::make("o2", "prefill")).error().code == "order_open");
    CHECK(a->journal.take_results().empty());
    it.engine.finish();
    it.drive(*a, 30);
    const auto results = a->journal.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].how == order::order_result::ending::done);
    CHECK(it.engine.received.size() == 1);
    CHECK(order::parse_entry(*it.store.get("order/e").value()).value().state == order::entry_state::settled);
}

// Guards against a rejected order that stays open indefinitely.
TEST_CASE("an order that the engine permanently rejects is settled as failed") {
    order_fixture it;
    it.wire.handlers["engine"] = [&it](const http::request &message) {
        return message.method == "GET" ? it.engine(message) : http::response{400, {}, "{}"};
    };
    auto a = it.start("a");
    it.acquire(*a);
    REQUIRE(a->journal.begin(order_fixture::make("o1", "nonsense")));
    it.drive(*a, 30);
    const auto results = a->journal.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].how == order::order_result::ending::failed);
    CHECK(a->journal.begin(order_fixture::make("o2", "decode")));
}

// Guards against writes or orders without a lease, and against a busy loop while the store is down.
TEST_CASE("nothing is written or sent without a lease or a store") {
    order_fixture it;
    auto a = it.start("a");
    REQUIRE(a->journal.begin(order_fixture::make("o1", "decode")));
    CHECK(order::drive_journal(a->journal, it.store, it.ids, it.sender, std::nullopt).step ==
          order::journal_step::idle);
    it.acquire(*a);
    it.store.set_faults({.outage = true});
    const auto step = [&] {
        return order::drive_journal(a->journal, it.store, it.ids, it.sender, a->lease_state.authority()).step;
    };
    CHECK(step() == order::journal_step::read);
    CHECK(step() == order::journal_step::wait);
    CHECK(it.engine.received.empty());
}

// Guards against an order that is queued under a lost lease and begun after the lease is acquired again.
TEST_CASE("an order that is queued when the lease ends is dropped") {
    order_fixture it;
    auto a = it.start("a");
    it.acquire(*a);
    it.store.set_faults({.outage = true});
    REQUIRE(a->journal.begin(order_fixture::make("o1", "decode")));
    it.drive(*a, 60);
    it.store.set_faults({});
    it.drive(*a, 200);
    const auto results = a->journal.take_results();
    REQUIRE(results.size() == 1);
    CHECK(results[0].how == order::order_result::ending::dropped);
    CHECK(it.engine.received.empty());
}

// Guards against a former holder that writes a new intent over the settled order of its successor.
TEST_CASE("a planner does nothing in a journal with a higher fence") {
    order_fixture it;
    auto a = it.start("a");
    it.acquire(*a);
    const auto fence = a->lease_state.authority()->fence();
    const order::journal_entry newer{order_fixture::make("o9", "decode"), fence + 1, order::entry_state::settled,
                                     false};
    REQUIRE(it.store.put("order/e", order::to_json(newer).dump(), store::absent));
    REQUIRE(a->journal.begin(order_fixture::make("o1", "prefill")));
    it.drive(*a, 20);
    CHECK(order::parse_entry(*it.store.get("order/e").value()).value().item.id == "o9");
    CHECK(it.engine.received.empty());
}
