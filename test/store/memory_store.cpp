#include "store/memory_store.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using base::error_kind;

// Guards against an unconditional overwrite or a version that does not grow.
TEST_CASE("memory_store applies a write only at the expected version") {
    store::memory_store it;
    const auto first = it.put("a", "1", store::absent);
    REQUIRE(first);
    CHECK(it.put("a", "2", store::absent).error().kind == error_kind::conflict);
    const auto second = it.put("a", "2", first.value());
    REQUIRE(second);
    CHECK(second.value() > first.value());
    CHECK(it.erase("a", first.value()).error().kind == error_kind::conflict);
    CHECK(it.erase("a", second.value()));
    CHECK_FALSE(it.get("a").value().has_value());
}

// Guards against fault injection that does not do what the promise tests rely on.
TEST_CASE("memory_store faults: lost answers apply, lost requests do not, stale reads are one write behind") {
    store::memory_store it;
    it.set_faults_once({.lose_answers = true});
    CHECK(it.put("a", "1", store::absent).error().kind == error_kind::unknown_outcome);
    const auto version = it.get("a").value()->version;
    it.set_faults_once({.lose_requests = true});
    CHECK(it.put("a", "2", version).error().kind == error_kind::unknown_outcome);
    CHECK(it.get("a").value()->value == "1");
    CHECK(it.put("a", "2", version));
    it.set_faults({.stale_reads = true});
    CHECK(it.get("a").value()->value == "1");
    it.set_faults({.outage = true});
    CHECK(it.get("a").error().kind == error_kind::unavailable);
    CHECK(it.watch("", 0, {}).error().kind == error_kind::unavailable);
}

// Guards against a watch that misses a deletion or repeats what was seen.
TEST_CASE("memory_store watch reports changes after the revision") {
    store::memory_store it;
    const auto a = it.put("p/a", "1", store::absent).value();
    REQUIRE(it.put("p/b", "1", store::absent));
    const auto all = it.watch("p/", 0, {}).value();
    CHECK(all.events.size() == 2);
    REQUIRE(it.erase("p/a", a));
    const auto next = it.watch("p/", all.revision, {}).value();
    REQUIRE(next.events.size() == 1);
    CHECK(next.events[0].deleted);
    CHECK(it.watch("p/", next.revision, {}).value().events.empty());
    CHECK(it.list("p/").value().size() == 1);
}

// Guards against a stand-in that hides how much is sent to a watch from an old revision.
TEST_CASE("with a history a watch reports each change, and fails from before what is kept") {
    store::memory_store it;
    it.keep_history(3);
    std::uint64_t version = store::absent;
    for (int n = 1; n <= 4; ++n) {
        version = it.put("a", std::to_string(n), version).value();
    }
    CHECK(it.watch("a", 2, {}).value().events.size() == 2);
    CHECK(it.watch("a", 1, {}).value().events.size() == 3);
    CHECK(it.watch("a", 0, {}).value().events.size() == 1);
    it.take_copy();
    REQUIRE(it.put("b", "1", store::absent));
    CHECK(it.watch("a", 1, {}).error().code == "history_lost");
    it.restore_copy();
    CHECK(it.watch("", 3, {}).value().events.size() == 1);
}
