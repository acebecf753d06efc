#include "gateway/fleet_view.hpp"

#include <doctest/doctest.h>

#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    gateway::fleet_view subject{clock};

    fixture() {
        subject.on_store_answer();
        clock.advance(10s);
        subject.on_list({entry("a"), entry("b")});
    }

    static gateway::fleet_entry entry(std::string id, std::uint64_t revision = 1,
                                      std::uint64_t incarnation_start_ms = 100, std::uint64_t sequence = 5) {
        auto server = test::server(std::move(id), "desk");
        server.incarnation_start_ms = incarnation_start_ms;
        server.sequence = sequence;
        return {server, revision};
    }
};

} // namespace

// Guards against requests to a backend server that has left.
TEST_CASE("an entry that is removed while the store is available is dropped at once") {
    fixture it;
    it.subject.on_removed("a", 2);
    CHECK(it.subject.servers().size() == 1);
    it.subject.on_list({});
    CHECK(it.subject.servers().empty());
}

// All entries expire during a store outage. Guards against refusing all requests although the servers are alive.
TEST_CASE("entries that expire during an outage are kept until the grace after its end") {
    fixture it;
    it.subject.on_store_failure();
    it.clock.advance(8s);
    it.subject.on_store_answer();
    it.subject.on_list({});
    CHECK(it.subject.servers().size() == 2);
    it.clock.advance(1500ms);
    it.subject.on_change(fixture::entry("a", 9, 100, 9));
    it.clock.advance(800ms);
    CHECK(it.subject.expire());
    REQUIRE(it.subject.servers().size() == 1);
    CHECK(it.subject.servers().front().id == "a");
}

// Guards against a removed server that is used on because connections to the store are cut again and again: each cut
// moved the time of its removal.
TEST_CASE("cut connections to a store that answers do not put off the removal of an entry") {
    fixture it;
    it.subject.on_store_failure();
    it.clock.advance(8s);
    it.subject.on_store_answer();
    it.clock.advance(1s);
    it.subject.on_removed("a", 5);
    const auto due = it.subject.next_expiry();
    REQUIRE(due);
    while (it.clock.now() < *due) {
        it.clock.advance(200ms);
        it.subject.on_store_failure(gateway::store_failure::connection_cut);
        it.clock.advance(5ms);
        it.subject.on_store_answer();
        (void)it.subject.expire();
    }
    CHECK(it.subject.servers().size() == 1);
    // Nor do they begin a grace.
    it.clock.advance(1s);
    it.subject.on_store_failure(gateway::store_failure::connection_cut);
    it.subject.on_store_answer();
    it.subject.on_removed("b", 6);
    CHECK(it.subject.servers().empty());
}

// Guards against refusing requests because a short outage is taken for a cut connection, and against dropping a server
// that had no time to write its entry because another outage followed.
TEST_CASE("a call that got no answer, and a store that stays away, are an outage") {
    for (const auto how : {gateway::store_failure::no_answer, gateway::store_failure::connection_cut}) {
        fixture it;
        it.subject.on_store_failure(how);
        it.clock.advance(how == gateway::store_failure::no_answer ? 5ms : 300ms);
        it.subject.on_store_answer();
        it.subject.on_list({});
        CHECK(it.subject.servers().size() == 2);
        const auto due = it.subject.next_expiry();
        REQUIRE(due);
        it.clock.advance(1s);
        it.subject.on_store_failure();
        it.clock.advance(10s);
        CHECK_FALSE(it.subject.expire());
        it.subject.on_store_answer();
        CHECK_FALSE(it.subject.expire());
        CHECK(*it.subject.next_expiry() == *due + 10s);
    }
}

// Guards against a server that leaves 1.9 s after an outage and still gets a request 2.02 s after its removal from the
// store; the limit is 2 s.
TEST_CASE("an entry that is removed shortly after an outage has a short grace") {
    fixture it;
    it.subject.on_store_failure();
    it.clock.advance(8s);
    it.subject.on_store_answer();
    it.clock.advance(1200ms);
    it.subject.on_removed("a", 5);
    REQUIRE(it.subject.next_expiry());
    CHECK(*it.subject.next_expiry() - it.clock.now() <= 1s);
    it.clock.advance(1s);
    CHECK(it.subject.expire());
    CHECK(it.subject.servers().size() == 1);
}

// Guards against dropping entries while the store is unavailable.
TEST_CASE("nothing is removed during an outage") {
    fixture it;
    it.subject.on_store_failure();
    it.subject.on_removed("a", 5);
    it.clock.advance(20s);
    CHECK_FALSE(it.subject.expire());
    CHECK(it.subject.servers().size() == 2);
}

// Guards against a delayed write of an earlier report that makes a draining server usable again.
TEST_CASE("older reports are ignored, and a new incarnation replaces the earlier one") {
    fixture it;
    auto leaving = fixture::entry("a", 6, 100, 8);
    leaving.server.draining = true;
    CHECK(it.subject.on_change(leaving));
    CHECK_FALSE(it.subject.on_change(fixture::entry("a", 7, 100, 7)));
    CHECK(it.subject.servers().front().draining);
    CHECK(it.subject.on_change(fixture::entry("a", 8, 200, 1)));
    CHECK_FALSE(it.subject.servers().front().draining);
    CHECK_FALSE(it.subject.on_change(fixture::entry("a", 9, 100, 50)));
}

// Guards against a replayed removal of an entry that has since been rewritten.
TEST_CASE("a removal older than the entry is ignored") {
    fixture it;
    it.subject.on_change(fixture::entry("a", 20, 100, 9));
    it.subject.on_removed("a", 10);
    CHECK(it.subject.servers().size() == 2);
}

// The gateway has noticed no outage. Guards against dropping every server that the copy lacks, before it has had the
// time to write itself again.
TEST_CASE("servers that a copy of the store lacks are kept until they must have written again") {
    fixture it;
    it.subject.on_store_returned();
    it.subject.on_list({fixture::entry("a", 1)});
    CHECK(it.subject.servers().size() == 2);
    it.clock.advance(2s);
    (void)it.subject.expire();
    CHECK(it.subject.servers().size() == 2);
    it.clock.advance(300ms);
    CHECK(it.subject.expire());
    CHECK(it.subject.servers().size() == 1);
}

// Guards against new requests to a server that has left, because a copy of the store still lists it.
TEST_CASE("a server that had left before the store returned from a copy stays away") {
    fixture it;
    it.subject.on_removed("a", 2);
    REQUIRE(it.subject.servers().size() == 1);
    it.subject.on_store_returned();
    // Reports in between, which differ in their sequence only, are not sent to watches.
    it.subject.on_list({fixture::entry("a", 1, 100, 8), fixture::entry("b", 1)});
    CHECK(it.subject.servers().size() == 1);
    SUBCASE("a newer report of the same process brings it back") {
        CHECK(it.subject.on_change(fixture::entry("a", 20, 100, 9)));
        CHECK(it.subject.servers().size() == 2);
    }
    SUBCASE("and so does another process under its id") {
        CHECK(it.subject.on_change(fixture::entry("a", 20, 200, 1)));
        CHECK(it.subject.servers().size() == 2);
    }
    SUBCASE("without a return, a list is news") {
        it.subject.on_list({fixture::entry("a", 21, 100, 9), fixture::entry("b", 1)});
        CHECK(it.subject.servers().size() == 2);
    }
}

// Guards against a draining server that a copy lists in its earlier state.
TEST_CASE("a server that drains goes on draining when a copy says that it is ready") {
    fixture it;
    auto leaving = fixture::entry("a", 6, 100, 8);
    leaving.server.draining = true;
    CHECK(it.subject.on_change(leaving));
    it.subject.on_store_returned();
    it.subject.on_list({fixture::entry("a", 9, 100, 6), fixture::entry("b", 9)});
    for (const auto &server : it.subject.servers()) {
        CHECK(server.draining == (server.id == "a"));
    }
}

// Guards against a server that is used without end because its entry was overwritten by one that cannot be read, and
// against one that is lost at once although it writes its entry again.
TEST_CASE("a server whose entry becomes unreadable is kept for the time in which it writes its entry again") {
    for (const bool listed : {false, true}) {
        CAPTURE(listed);
        fixture it;
        const auto overwrite = [&] {
            if (listed) {
                it.subject.on_list({fixture::entry("b")}, {"a", "other"});
            } else {
                it.subject.on_unreadable("a");
                it.subject.on_unreadable("other");
            }
        };
        overwrite();
        it.clock.advance(2100ms);
        overwrite();
        CHECK_FALSE(it.subject.expire());
        CHECK(it.subject.servers().size() == 2);
        it.subject.on_change(fixture::entry("a", 9, 100, 9));
        it.clock.advance(10s);
        CHECK_FALSE(it.subject.expire());
        CHECK(it.subject.servers().size() == 2);
        overwrite();
        it.clock.advance(2200ms);
        CHECK(it.subject.expire());
        CHECK(it.subject.servers().size() == 1);
    }
}

// Guards against a server that is kept after its removal because its entry could not be read before.
TEST_CASE("a server whose unreadable entry is removed is dropped at once") {
    fixture it;
    it.subject.on_unreadable("a");
    it.subject.on_removed("a", 2);
    CHECK(it.subject.servers().size() == 1);
    it.subject.on_unreadable("b");
    it.subject.on_list({});
    CHECK(it.subject.servers().empty());
}
