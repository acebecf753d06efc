#include <doctest/doctest.h>

#include "support/site.hpp"
#include "support/stream_set.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using test::stream_set;
using test::within_seconds;

namespace {

// Long enough that a stream ends by itself only after the limit of the promise.
constexpr std::size_t tokens = 2000;
const std::vector<std::string> slow_engine{"--tokens-per-second", "40"};
constexpr auto isolation_limit = 2s;
const std::vector<std::string> short_isolation{"timings.isolation_limit_ms=2000", "timings.store_timeout_ms=500"};

/** A caller that keeps its connection and lets it idle between requests. */
class keep_alive_caller {
public:
    keep_alive_caller(std::string address, std::string key) : address_{std::move(address)}, key_{std::move(key)} {}

    int status() {
        const auto answer = client_.call(
            address_, {"GET", "/services/booking/availability", {{"Authorization", "Bearer " + key_}}, ""}, {});
        return answer ? answer.value().status : 0;
    }

private:
    const std::string address_;
    const std::string key_;
    http::curl_client client_;
};

bool serves_now(const test::site &it, std::size_t entry) {
    return it.call(entry, "GET", "/services/booking/availability").status == 200;
}

} // namespace

// Shows that the check can fail: a stream that nobody checks goes on after the key was withdrawn.
TEST_CASE("promise 6: a stream straight from the engine outlives the withdrawal") {
    test::site it{{.engines = 1, .services = 1, .engine_arguments = {slow_engine}}};
    const stream_set naive{it.backend_address(0), it.key(), "naive", 1, tokens};
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    REQUIRE(eventually([&] { return !serves_now(it, 0); }, within_seconds));
    const auto before = naive[0].received();
    CHECK(naive[0].wait_received(before + 5));
}

// Guards against a withdrawn key that works on for callers that are already connected.
TEST_CASE("promise 6: open streams and idle connections end within seconds of the withdrawal") {
    test::site it{{.engines = 2, .services = 1, .entries = 2, .engine_arguments = {slow_engine}}};
    const stream_set first{it.callers(0), it.key(), "first", 3, tokens};
    const stream_set second{it.callers(1), it.key(), "second", 3, tokens};
    const stream_set other{it.callers(0), it.key(1), "other", 2, 200};
    keep_alive_caller idle{it.callers(0), it.key()};
    keep_alive_caller idle_elsewhere{it.callers(1), it.key()};
    keep_alive_caller neighbour{it.callers(0), it.key(1)};
    REQUIRE(idle.status() == 200);
    REQUIRE(idle_elsewhere.status() == 200);
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    CHECK(eventually([&] { return first.open() + second.open() == 0; }, within_seconds));
    CHECK(eventually([&] { return idle.status() == 401 && idle_elsewhere.status() == 401; }, within_seconds));
    for (const auto *set : {&first, &second}) {
        for (std::size_t n = 0; n < set->size(); ++n) {
            // The response ends visibly incomplete and says why.
            CHECK_FALSE((*set)[n].done());
            CHECK((*set)[n].correct_so_far());
            CHECK((*set)[n].error().find("key_withdrawn") != std::string::npos);
        }
    }
    // The other organisation notices nothing.
    CHECK(neighbour.status() == 200);
    CHECK(other.count_whole() == other.size());
}

// Guards against an operator who is told that a withdrawal is in force where it is not, or is left without an answer.
TEST_CASE("promise 6: the command reports when the withdrawal is in force and which entries did not confirm") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    const auto all = it.command({"key", "withdraw", test::site::key_id(0)});
    CAPTURE(all.output);
    CAPTURE(all.errors);
    CHECK(all.code == 0);
    CHECK(all.output.find("in force at all 2 entries") != std::string::npos);
    it.entry(1).signal(SIGSTOP);
    const auto some = it.command({"key", "withdraw", test::site::key_id(1), "--wait", "1"});
    it.entry(1).signal(SIGCONT);
    CHECK(some.code == 1);
    CHECK(some.output.find("not confirmed") != std::string::npos);
    CHECK(some.output.find(it.peers(1)) != std::string::npos);
}

// Guards against an isolated entry that serves withdrawn keys forever because it hears nothing.
TEST_CASE("promise 6: an entry that hears neither store nor peers refuses after its limit") {
    test::site it{{.engines = 0, .services = 1, .entry_overrides = short_isolation, .relay_stores = true}};
    REQUIRE(serves_now(it, 0));
    it.store_relay(0).silence_all();
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    CHECK(eventually([&] { return !serves_now(it, 0); }, within_seconds));
    const auto refused = it.call(0, "GET", "/services/booking/availability");
    CHECK(refused.status == 503);
    CHECK(refused.code() == "isolated");
    CHECK(refused.ran() == "no");
    // The other organisation's key is valid, but the entry cannot know it.
    const auto other = test::site::send(
        it.callers(), {"GET", "/services/booking/availability", {{"Authorization", "Bearer " + it.key(1)}}, ""});
    CHECK(other.status == 503);
    it.store_relay(0).release();
    CHECK(eventually([&] { return it.call(0, "GET", "/services/booking/availability").status == 401; }));
}

// Guards against open streams that run on while their entry cannot confirm the key table.
TEST_CASE("promise 6: an isolated entry does not carry a stream of a withdrawn key beyond its limit") {
    test::site it{{.engines = 1,
                   .services = 0,
                   .engine_arguments = {slow_engine},
                   .entry_overrides = short_isolation,
                   .relay_stores = true}};
    const stream_set streams{it.callers(), it.key(), "isolated", 2, tokens};
    it.store_relay(0).silence_all();
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    CHECK(eventually([&] { return streams.open() == 0; }, within_seconds));
    CHECK_FALSE(streams[0].done());
}

// Guards against an outage of the store that stops all service although nothing can be withdrawn during it.
TEST_CASE("promise 6: entries go on serving while all see the store down") {
    test::site it{{.engines = 0, .services = 1, .entries = 2, .entry_overrides = short_isolation}};
    it.store_faults({{"outage", true}});
    const auto until = std::chrono::steady_clock::now() + 4 * isolation_limit;
    std::size_t served = 0;
    std::size_t refused = 0;
    while (std::chrono::steady_clock::now() < until) {
        for (std::size_t n = 0; n < 2; ++n) {
            const auto got = it.call(n, "GET", "/services/booking/availability").status;
            served += got == 200 ? 1U : 0U;
            refused += got == 200 ? 0U : 1U;
        }
    }
    CHECK(served > 0);
    CHECK(refused == 0);
    it.store_faults({{"outage", false}});
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    CHECK(eventually([&] { return !serves_now(it, 0) && !serves_now(it, 1); }, within_seconds));
}

// Guards against an entry that serves a withdrawn key because only its own way to the store is silent.
TEST_CASE("promise 6: an entry with a silent store learns of the withdrawal from its peer") {
    test::site it{
        {.engines = 0, .services = 1, .entries = 2, .entry_overrides = short_isolation, .relay_stores = true}};
    it.store_relay(0).silence_all();
    REQUIRE(it.command({"key", "withdraw", test::site::key_id(), "--no-confirm"}).code == 0);
    CHECK(eventually([&] { return !serves_now(it, 0) && !serves_now(it, 1); }, within_seconds));
    CHECK(eventually([&] { return it.call(0, "GET", "/services/booking/availability").status == 401; }));
}
