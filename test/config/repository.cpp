#include "config/repository.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

#include "config/fake_store.hpp"
#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

config::repository_options quick_options() {
    return {.sleep = [](base::duration) { std::this_thread::yield(); }, .time = [] { return std::string{"12:00"}; }};
}

/** Builder that sets the concurrency of one row. */
config::change_builder set_concurrency(const config::row_name &name, std::uint64_t n) {
    return [name, n](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        auto after = current.values();
        after.rows[name].concurrency = n;
        return test::make_change(0, current.values(), after).items;
    };
}

base::result<std::vector<config::item_change>> add_sample(const config::config_state &current) {
    return test::make_change(0, current.values(), test::sample_declarations()).items;
}

struct fixture {
    test::fake_store store;
    base::id_source ids{7};
    config::repository mine{store, ids, quick_options()};
    config::repository other{store, ids, quick_options()};

    fixture() { REQUIRE(mine.commit("alice", add_sample)); }

    std::uint64_t concurrency() { return mine.read().value()->find_row("north", "drafting")->concurrency; }
    std::size_t commits() { return mine.read().value()->version(); }
};

const config::row_name target{"north", "drafting"};

} // namespace

// Guards against a change that is committed twice, or reported as failed, because its response was lost.
TEST_CASE("a write whose response was lost is recognised by the id of the change") {
    fixture it;
    it.store.lose_put_answers = 1;
    const auto done = it.mine.commit("alice", set_concurrency(target, 9));
    REQUIRE(done);
    CHECK(done.value().state->version() == 2);
    CHECK(it.commits() == 2);
    it.store.drop_puts = 3;
    REQUIRE(it.mine.commit("alice", set_concurrency(target, 10)));
    CHECK(it.concurrency() == 10);
    CHECK(it.commits() == 3);
}

// Guards against not recognising the own committed change after a lost response, because another writer has committed a
// newer change since.
TEST_CASE("a write whose response was lost is recognised behind a newer commit of another writer") {
    fixture it;
    it.store.lose_put_answers = 1;
    auto options = quick_options();
    bool once = true;
    options.sleep = [&](base::duration) {
        if (std::exchange(once, false)) {
            REQUIRE(it.other.commit("bob", set_concurrency({"south", "drafting"}, 5)));
        }
    };
    config::repository repository{it.store, it.ids, options};
    const auto done = repository.commit("alice", set_concurrency(target, 9));
    REQUIRE(done);
    CHECK(done.value().state->version() == 3);
    CHECK(it.commits() == 3);
}

// Guards against a delayed write that takes effect in addition to its repetition.
TEST_CASE("only one of a delayed write and its repetition takes effect") {
    fixture it;
    it.store.delay_puts = 1;
    REQUIRE(it.mine.commit("alice", set_concurrency(target, 9)));
    CHECK_FALSE(it.store.deliver());
    CHECK(it.commits() == 2);
    auto options = quick_options();
    options.sleep = [&it](base::duration) { (void)it.store.deliver(); };
    config::repository late{it.store, it.ids, options};
    it.store.delay_puts = 1;
    REQUIRE(late.commit("alice", set_concurrency(target, 11)));
    CHECK(it.commits() == 3);
}

// Guards against a commit based on a stale read, and against a read that returns an older version than before.
TEST_CASE("stale reads are repeated until they include the own commit") {
    fixture it;
    REQUIRE(it.mine.commit("alice", set_concurrency(target, 9)));
    it.store.stale_gets = 2;
    CHECK(it.concurrency() == 9);
    it.store.stale_gets = 1;
    REQUIRE(it.other.commit("bob", set_concurrency(target, 10)));
    CHECK(it.concurrency() == 10);
    CHECK(it.commits() == 3);
    it.store.stale_gets = 1000;
    const auto got = it.mine.read();
    REQUIRE_FALSE(got);
    CHECK(got.error().code == "stale_read");
}

// Guards against repeated writes on a version that has already met a conflict, while reads are stale.
TEST_CASE("after a conflict, reads of the refused version count as stale") {
    fixture it;
    REQUIRE(it.other.commit("bob", set_concurrency(target, 9)));
    it.store.stale_gets = 3;
    const auto before = it.store.puts;
    REQUIRE(it.mine.commit("alice", set_concurrency(target, 10)));
    CHECK(it.store.puts == before + 2);
    CHECK(it.commits() == 3);
}

// Guards against reporting "nothing was changed" if the store stopped answering after the write was sent.
TEST_CASE("an unresolved write is reported as unknown outcome, an unreachable store as unavailable") {
    fixture it;
    it.store.drop_puts = 1000;
    const auto unknown = it.mine.commit("alice", set_concurrency(target, 9));
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().kind == base::error_kind::unknown_outcome);
    it.store.down = true;
    const auto down = it.mine.commit("alice", set_concurrency(target, 9));
    REQUIRE_FALSE(down);
    CHECK(down.error().kind == base::error_kind::unavailable);
}

// Guards against committing a configuration that is found to be invalid only later.
TEST_CASE("an invalid result is refused before it is written") {
    fixture it;
    const auto before = it.store.puts;
    const auto got = it.mine.commit("alice", [](const config::config_state &current) {
        auto after = current.values();
        after.rows[{"east", "drafting"}] = {"east", "drafting", 1, 1, 1, 1, 1, 1};
        return base::result<std::vector<config::item_change>>{test::make_change(0, current.values(), after).items};
    });
    REQUIRE_FALSE(got);
    CHECK(got.error().code == "declarations_invalid");
    CHECK(it.store.puts == before);
}

// Guards against lost edits when the head is compacted into a snapshot, and against old snapshots that are not removed.
TEST_CASE("a long history is compacted and the configuration stays complete") {
    fixture it;
    constexpr std::uint64_t rounds = 450;
    for (std::uint64_t n = 1; n <= rounds; ++n) {
        REQUIRE(it.mine.commit("alice", [n](const config::config_state &current) {
            auto after = current.values();
            after.organisations["north"].description = std::string(400, 'd') + std::to_string(n);
            return base::result<std::vector<config::item_change>>{test::make_change(0, current.values(), after).items};
        }));
    }
    config::repository fresh{it.store, it.ids, quick_options()};
    const auto state = fresh.read();
    REQUIRE(state);
    CHECK(state.value()->version() == rounds + 1);
    CHECK(state.value()->values().organisations.at("north").description.ends_with("d450"));
    CHECK(state.value()->values().keys.size() == 2);
    const auto text = it.store.get(config::head_key).value()->value;
    const auto head = config::decode_head(text);
    REQUIRE(head);
    CHECK(head.value().snapshot_version > 200);
    CHECK(head.value().changes.front().version <= head.value().snapshot_version);
    CHECK(text.size() <= config::head_limit);
    CHECK(it.store.list("config/snapshot/").value().size() <= 2);
}

// Guards against a first import that exceeds the maximum object size of the store.
TEST_CASE("a large import is split into several valid commits") {
    test::fake_store store;
    base::id_source ids{1};
    config::repository repository{store, ids, quick_options()};
    auto wanted = test::sample_declarations();
    for (int n = 0; n < 940; ++n) {
        const auto name = "org" + std::to_string(n);
        wanted.organisations[name] = {name, std::string(100, 'd')};
        wanted.rows[{name, "drafting"}] = {name, "drafting", 1, 8, 10, 5000, 500, 20};
        wanted.rows[{name, "booking"}] = {name, "booking", 1, 4, 5, 0, 0, 10};
    }
    int steps = 0;
    for (bool complete = false; !complete; ++steps) {
        const auto done = repository.commit("alice", [&wanted](const config::config_state &current) {
            return base::result<std::vector<config::item_change>>{test::make_change(0, current.values(), wanted).items};
        });
        REQUIRE(done);
        complete = done.value().complete;
        CHECK(store.get(config::head_key).value()->value.size() < 1'000'000);
    }
    CHECK(steps > 1);
    CHECK(repository.read().value()->values() == wanted);
}

// Guards against edits that are lost or applied twice when operators commit concurrently and the store loses responses.
TEST_CASE("all concurrent commits take effect, each exactly once") {
    fixture it;
    constexpr int writers = 4;
    constexpr int rounds = 25;
    it.store.lose_put_answers = 10;
    it.store.stale_gets = 20;
    std::atomic<int> committed{0};
    std::vector<std::thread> threads;
    threads.reserve(writers);
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&it, &committed] {
            auto options = quick_options();
            options.attempts = 1000;
            config::repository own{it.store, it.ids, options};
            for (int n = 0; n < rounds; ++n) {
                const auto done = own.commit("w", [](const config::config_state &current) {
                    return set_concurrency(target, current.find_row("north", "drafting")->concurrency + 1)(current);
                });
                committed += done ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(committed == writers * rounds);
    CHECK(it.concurrency() == 8 + writers * rounds);
}
