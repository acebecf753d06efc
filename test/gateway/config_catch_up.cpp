#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/config_source.hpp"
#include "gateway/store_feed.hpp"
#include "http/server.hpp"
#include "platform/object_codec.hpp"
#include "store/memory_store.hpp"
#include "support/tcp_relay.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t object_bytes = std::size_t{300} << 10U;

/** Store that counts the bytes of its answers, and refuses those over the limit of a watch. */
struct measuring_store final : store::object_store {
    store::memory_store inner;
    std::vector<std::uint64_t> watched_from;
    std::size_t sent{0}; /**< Bytes of all answers, including the parts of refused ones. */

    measuring_store() { inner.keep_history(1000); }

    base::result<std::optional<store::object>> get(std::string_view key) override { return inner.get(key); }
    base::result<std::uint64_t> put(std::string_view key, std::string_view value, std::uint64_t expected) override {
        return inner.put(key, value, expected);
    }
    base::result<void> erase(std::string_view key, std::uint64_t expected) override {
        return inner.erase(key, expected);
    }
    base::result<std::vector<store::object>> list(std::string_view prefix) override { return inner.list(prefix); }
    base::result<store::watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                           const store::watch_limits &limits) override {
        watched_from.push_back(since);
        BOOST_OUTCOME_TRY(out, inner.watch(prefix, since, {}));
        for (const auto &it : out.events) {
            out.bytes += it.item.value.size();
        }
        if (since != 0 && out.bytes > limits.bytes) {
            sent += limits.bytes;
            return base::fail(base::error_kind::timeout, "answer_too_long", "over the limit");
        }
        sent += out.bytes;
        return out;
    }

    /** Writes the next version of one large object. */
    void change() {
        const auto now = inner.get("config/main").value();
        REQUIRE(inner.put("config/main", std::string(object_bytes, 'x'), now ? now->version : store::absent));
    }
};

struct feed_fixture {
    measuring_store store;
    std::uint64_t newest{0};
    std::uint64_t known{0};
    int failures{0};
    gateway::store_feed subject{store,
                                "config/",
                                {},
                                {[this](const auto &all) { newest = all.back().version; },
                                 [this](const auto &changes) { newest = changes.back().item.version; },
                                 [] {},
                                 [this](const auto &) { ++failures; },
                                 {},
                                 {},
                                 [this] { return known; }}};

    feed_fixture() {
        store.change();
        (void)subject.step();
    }
};

std::string config_text(int version, int routes) {
    nlohmann::json out{{"Version", version},
                       {"Routes", nlohmann::json::array()},
                       {"Services", {{{"Name", "desk"}}}},
                       {"Tenants", nlohmann::json::array()}};
    for (int n = 0; n < routes; ++n) {
        const auto name = "route-" + std::to_string(n);
        out["Routes"].push_back({{"Name", name},
                                 {"Host", "site.example"},
                                 {"PathPrefix", "/" + name + "/"},
                                 {"Kind", "safe"},
                                 {"TimeoutMs", 4000},
                                 {"Service", "desk"}});
    }
    return out.dump();
}

} // namespace

// Guards against reading more after a gap the more versions were missed, although only the newest one counts.
TEST_CASE("what a feed reads after a gap does not grow with the number of changes that it missed") {
    feed_fixture it;
    for (const int missed : {1, 5, 20, 100}) {
        CAPTURE(missed);
        const auto before = it.store.sent;
        for (int n = 0; n < missed; ++n) {
            it.store.change();
        }
        for (int calls = 0; calls < 2 && it.newest != it.store.inner.revision(); ++calls) {
            (void)it.subject.step();
        }
        CHECK(it.newest == it.store.inner.revision());
        CHECK(it.store.sent - before <= 3 * object_bytes);
    }
    CHECK(it.failures == 0);
}

// Guards against a feed that reads what its gateway has already got from another one.
TEST_CASE("a feed goes on from what is known from elsewhere, and never goes back") {
    feed_fixture it;
    const auto first = it.newest;
    it.store.change();
    it.store.change();
    it.known = it.store.inner.revision();
    (void)it.subject.step();
    CHECK(it.store.watched_from.back() == it.known);
    it.store.change();
    it.known = first;
    (void)it.subject.step();
    CHECK(it.newest == it.store.inner.revision());
    it.known = 1;
    (void)it.subject.step();
    CHECK(it.store.watched_from.back() == it.store.inner.revision());
}

// Guards against peers that cannot help because a configuration takes longer than an unresponsive peer is waited for.
TEST_CASE("a gateway takes a large configuration from a peer through a slow link, and its position with it") {
    base::manual_clock clock;
    clock.advance(1min);
    const platform::object_codec codec;
    http::curl_client client;
    gateway::config_source informed{{clock, codec, client, [] { return std::vector<std::string>{}; }, [](auto) {}}};
    constexpr int routes = 6000;
    constexpr std::uint64_t position = 412;
    REQUIRE(informed.on_object({"config/main", position, config_text(7, routes)}));
    informed.on_store_answer();
    http::server server;
    const auto address = server.start(
        "127.0.0.1:0", http::answer_with([&](const auto &message) { return informed.answer_peer(message); }));
    REQUIRE(address);
    test::tcp_relay path{address.value()};
    constexpr std::size_t slow_link = 1'250'000;
    path.limit_rate(slow_link);
    gateway::config_source cut_off{
        {clock, codec, client, [&] { return std::vector<std::string>{path.address()}; }, [](auto) {}}};
    cut_off.ask_peers();
    CHECK(cut_off.version() == 7);
    CHECK(cut_off.confirmed_within(0ms));
    CHECK(cut_off.store_version() == position);
    // A peer with nothing newer tells its position as well.
    REQUIRE(informed.on_object({"config/main", position + 5, config_text(7, routes)}));
    cut_off.ask_peers();
    CHECK(cut_off.store_version() == position + 5);
}
