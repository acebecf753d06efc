#include "usage/usage_recorder.hpp"

#include <doctest/doctest.h>

#include "store/memory_store.hpp"
#include "usage/usage_replica_buffer.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock clock;
    base::id_source ids{2};
    store::memory_store store;
    usage::usage_recorder recorder{clock, {.owner = "a"}};

    usage::usage_record count(const std::string &id) { return recorder.record(id, "org", "drafting", 1, 2); }
};

} // namespace

// Guards against records that are dropped before they are stored, or that peers are never told to drop.
TEST_CASE("records are kept until they are stored, then the peers may drop their copies") {
    fixture it;
    const auto first = it.count("r1");
    const auto second = it.count("r2");
    CHECK(second.sequence == first.sequence + 1);
    CHECK(it.recorder.not_held().size() == 2);
    CHECK(it.recorder.on_held(first.sequence, "b"));
    CHECK(it.recorder.on_held(second.sequence, "c"));
    CHECK_FALSE(it.recorder.next_batch().has_value());
    it.clock.advance(30s);
    auto batch = it.recorder.next_batch();
    REQUIRE(batch);
    it.store.set_faults({.outage = true});
    CHECK(it.recorder.on_flushed(*batch, usage::store_batch(it.store, it.ids, *batch)).empty());
    CHECK(it.recorder.unstored_count() == 2);
    CHECK_FALSE(it.recorder.next_batch().has_value());
    it.clock.advance(2s);
    it.store.set_faults({});
    batch = it.recorder.next_batch();
    REQUIRE(batch);
    CHECK(it.recorder.on_flushed(*batch, usage::store_batch(it.store, it.ids, *batch)).size() == 2);
    CHECK(it.recorder.unstored_count() == 0);
}

// Guards against a batch that mixes windows and against a window number that decreases.
TEST_CASE("a batch contains records of one window") {
    fixture it;
    it.count("r1");
    it.recorder.on_open_window(4);
    it.recorder.on_open_window(2);
    CHECK(it.count("r2").window == 4);
    it.recorder.flush_now();
    CHECK(it.recorder.next_batch()->records.size() == 1);
}

// Guards against records that have no second copy after the peer that held it has failed.
TEST_CASE("records held by a failed peer are replicated again") {
    fixture it;
    const auto record = it.count("r1");
    CHECK(it.recorder.on_held(record.sequence, "b"));
    CHECK(it.recorder.on_peer_gone("c").empty());
    CHECK(it.recorder.on_peer_gone("b").size() == 1);
    CHECK(it.recorder.not_held().size() == 1);
}

// Guards against losing the rest of a batch whose first record a peer has already stored under the same key.
TEST_CASE("owner and peer store overlapping batches without loss") {
    fixture it;
    const auto first = it.count("r1");
    usage::usage_replica_buffer holder;
    holder.hold(usage::parse_hold_body(usage::hold_body({first, first}).dump()).value());
    CHECK(holder.held() == 1);
    CHECK_FALSE(holder.next_batch().has_value());
    holder.on_owner_gone("a");
    const auto held = holder.next_batch();
    REQUIRE(held);
    holder.on_flushed(*held, usage::store_batch(it.store, it.ids, *held));
    CHECK(holder.held() == 0);
    it.count("r2");
    it.recorder.flush_now();
    const auto batch = it.recorder.next_batch();
    CHECK(usage::store_batch(it.store, it.ids, *batch));
    CHECK(usage::store_batch(it.store, it.ids, *batch));
    std::size_t stored = 0;
    const auto items = it.store.list("usage/batch/").value();
    for (const auto &item : items) {
        stored += usage::parse_batch(item).value().records.size();
    }
    CHECK(stored == 2);
}
