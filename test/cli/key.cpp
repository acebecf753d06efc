#include <doctest/doctest.h>

#include "cli/fixture.hpp"

using namespace dotterelstack;
using test::has;

// Guards against storing a key in plain text, and against printing a key that does not match the stored hash.
TEST_CASE("key create prints the key once and stores only its hash") {
    test::cli_fixture it;
    it.start();
    CHECK(it.run({"key", "create", "north", "--id", "k1", "--author", "alice"}) == 0);
    const auto at = it.out.find("dsk_");
    REQUIRE(at != std::string::npos);
    const auto text = it.out.substr(at, 4 + 64);
    const auto state = it.state();
    REQUIRE(state->find_active_key(base::sha256_hex(text)) != nullptr);
    CHECK(state->find_active_key(base::sha256_hex(text))->id == "k1");
    const auto objects = it.store.list("");
    REQUIRE(objects);
    for (const auto &object : objects.value()) {
        CHECK_FALSE(has(object.value, "dsk_"));
    }
    CHECK(it.run({"key", "create", "north", "--id", "k1", "--author", "alice"}) == 3);
    CHECK_FALSE(has(it.out, "dsk_"));
    CHECK(it.run({"key", "create", "east", "--author", "alice"}) == 2);
    CHECK(it.run({"key", "delete", "k1", "--author", "alice"}) == 2);
}

// Guards against reporting a withdrawal as in force while an entry still accepts the key.
TEST_CASE("key withdraw waits for every entry and names those that have not confirmed") {
    test::cli_fixture it;
    it.start();
    it.add_entry("127.0.0.1:12", "entry-2");
    it.add_entry("127.0.0.1:13", "entry-3");
    it.entries.bodies["127.0.0.1:12"]["withdrawn_keys"] = {"key-south"};
    it.on_sleep = [&it] { it.entries.bodies["127.0.0.1:11"]["config_version"] = 2; };
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice", "--wait", "3"}) == 1);
    CHECK(has(it.out, "not confirmed: entry-3 (127.0.0.1:13): has version 1"));
    CHECK_FALSE(has(it.out, "not confirmed: entry-1"));
    CHECK_FALSE(has(it.out, "not confirmed: entry-2"));
    it.entries.bodies.erase("127.0.0.1:13");
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice", "--wait", "0"}) == 1);
    CHECK(has(it.out, "not confirmed: entry-3 (127.0.0.1:13): no answer in time"));
    it.add_entry("127.0.0.1:13", "entry-3");
    it.entries.bodies["127.0.0.1:13"]["config_version"] = 5;
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice"}) == 0);
    CHECK(has(it.out, "in force at all 3 entries"));
    CHECK(it.state()->version() == 2);
    CHECK(it.state()->find_active_key(base::sha256_hex("dsk_south")) == nullptr);
}

// Guards against overlooking entries that are not yet in the host list, which lags behind, and against reporting
// success when the list is empty or cannot be read.
TEST_CASE("peers of entries must confirm too, and an unreadable host list is not a success") {
    test::cli_fixture it;
    it.start();
    it.entries.bodies["127.0.0.1:11"]["config_version"] = 9;
    it.entries.bodies["127.0.0.1:11"]["peers"] = {"127.0.0.1:11", "127.0.0.1:14"};
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice", "--wait", "0"}) == 1);
    CHECK(has(it.out, "not confirmed: 127.0.0.1:14"));
    it.platform.down = true;
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice", "--wait", "0"}) == 1);
    CHECK(has(it.out, "the list of entries may be incomplete"));
    it.platform.down = false;
    it.platform.hosts = R"({"hosts":[]})";
    CHECK(it.run({"key", "withdraw", "key-south", "--author", "alice", "--wait", "0"}) == 1);
    CHECK(it.run({"key", "withdraw", "nobody", "--author", "alice"}) == 2);
}
