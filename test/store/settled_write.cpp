#include "store/settled_write.hpp"

#include <doctest/doctest.h>

#include "store/memory_store.hpp"

using namespace dotterelstack;
using base::error_kind;

namespace {

struct fixture {
    store::memory_store store;
    base::id_source ids{1};

    base::result<std::uint64_t> write(std::uint64_t expected) {
        return store::settled_write(store, ids, "k", {{"n", 1}}, expected);
    }
};

} // namespace

// Guards against taking a lost answer for a failure, or another writer's value for our own.
TEST_CASE("settled_write resolves lost answers and lost requests") {
    fixture it;
    it.store.set_faults_once({.lose_answers = true});
    const auto first = it.write(store::absent);
    REQUIRE(first);
    CHECK(first.value() == it.store.get("k").value()->version);
    it.store.set_faults_once({.lose_requests = true});
    const auto second = it.write(first.value());
    REQUIRE(second);
    CHECK(second.value() == it.store.get("k").value()->version);
}

// Guards against claiming success when a competing writer came first and our answer was lost.
TEST_CASE("settled_write reports a conflict with a competing writer") {
    fixture it;
    REQUIRE(it.store.put("k", "{}", store::absent));
    it.store.set_faults_once({.lose_answers = true});
    CHECK(it.write(store::absent).error().kind == error_kind::conflict);
}

// Guards against a process that ends because another writer's value has a field of another type (review/3, related
// path).
TEST_CASE("settled_write takes any value of another writer for one that is not its own") {
    for (const auto *value : {R"({"write_id":7})", R"({"write_id":[]})", "[]", "7", "null", "{"}) {
        CAPTURE(value);
        fixture it;
        REQUIRE(it.store.put("k", value, store::absent));
        it.store.set_faults_once({.lose_answers = true});
        CHECK(it.write(store::absent).error().kind == error_kind::conflict);
    }
}

// Guards against a definite verdict that a delayed copy of the write could still overturn.
TEST_CASE("settled_write stays unknown while every request or the read-back is lost") {
    fixture it;
    it.store.set_faults({.lose_requests = true});
    CHECK(it.write(store::absent).error().kind == error_kind::unknown_outcome);
    it.store.set_faults({.lose_answers = true, .stale_reads = true});
    CHECK(it.write(store::absent).error().kind == error_kind::unknown_outcome);
    it.store.set_faults({.outage = true});
    CHECK(it.write(store::absent).error().kind == error_kind::unavailable);
}
