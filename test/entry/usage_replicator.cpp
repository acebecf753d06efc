#include "entry/usage_replicator.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "entry/fake_peers.hpp"
#include "store/memory_store.hpp"

// Inside the namespace, as the C library declares a struct `entry` in the global namespace.
namespace dotterelstack {

using namespace std::chrono_literals;

namespace {

/** Usage replicators of several entries that share a clock and a store. */
struct fixture {
    base::boottime_clock clock;
    base::id_source ids{3};
    store::memory_store store;
    test::fake_peers calls;
    entry::event_ring events{1000};
    std::mutex mutex;
    std::vector<entry::peer_entry> peers{};
    std::map<std::string, std::unique_ptr<entry::usage_replicator>> replicators{};

    fixture() = default;
    fixture(const fixture &) = delete;
    fixture &operator=(const fixture &) = delete;
    fixture(fixture &&) = delete;
    fixture &operator=(fixture &&) = delete;
    ~fixture() {
        for (auto &[name, replicator] : replicators) {
            replicator->stop();
        }
    }

    entry::usage_replicator &start(const std::string &name, const std::string &domain, base::duration flush = 1h) {
        auto &replicator = replicators[name];
        replicator = std::make_unique<entry::usage_replicator>(
            entry::usage_replicator_options{.incarnation = name + "-1",
                                            .failure_domain = domain,
                                            .flush_every = flush,
                                            .peer_status_interval = 10ms,
                                            .peer_timeout = 300ms,
                                            .listed_peer_timeout = 1h},
            entry::usage_replicator::dependencies{clock,
                                                  store,
                                                  ids,
                                                  events,
                                                  calls,
                                                  [this] {
                                                      const std::scoped_lock lock{mutex};
                                                      return peers;
                                                  },
                                                  {}});
        replicator->start(name);
        calls.set(name,
                  [&to = *replicator, name](const http::request &message) { return answer(to, name + "-1", message); });
        list(name, domain, true);
        return *replicator;
    }

    void list(const std::string &name, const std::string &domain, bool live) {
        const std::scoped_lock lock{mutex};
        std::erase_if(peers, [&](const auto &it) { return it.address == name; });
        peers.push_back({name, name, domain, live});
    }

    static http::response answer(entry::usage_replicator &to, const std::string &incarnation,
                                 const http::request &message) {
        if (message.target == "/usage/hold") {
            return to.on_hold(message);
        }
        if (message.target == "/usage/release") {
            return to.on_release(message);
        }
        return {200, {}, nlohmann::json{{"incarnation", incarnation}}.dump()};
    }

    static entry::served_usage used(const std::string &request) {
        return {.request = request, .organisation = "org", .service = "drafting", .generated_tokens = 3};
    }

    /** Request of the next response that is released. */
    std::string released() {
        auto it = events.pop_for(60s);
        REQUIRE(it);
        return std::get<entry::usage_held_event>(*it).request;
    }

    template<typename Condition>
    static bool eventually(Condition condition) {
        const auto end = std::chrono::steady_clock::now() + 60s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(2ms);
        }
        return condition();
    }

    std::map<std::string, std::size_t> stored() {
        std::map<std::string, std::size_t> out;
        const auto items = store.list(usage::batch_prefix).value();
        for (const auto &item : items) {
            const auto batch = usage::parse_batch(item).value();
            out[batch.owner] += batch.records.size();
        }
        return out;
    }
};

} // namespace

// Guards against a response that is released before a peer in another failure domain holds its usage record.
TEST_CASE("a record is held in another failure domain before its response is released") {
    fixture it;
    auto &same = it.start("b", "x");
    auto &other = it.start("c", "y");
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    CHECK(it.released() == "r1");
    CHECK(other.held() == 1);
    CHECK(same.held() == 0);
    CHECK(own.unstored_count() == 1);
    CHECK(it.stored().empty());
}

// Guards against responses that block on a peer that is gone, unresponsive or missing.
TEST_CASE("a response is released while no peer is reachable, and its record is held later") {
    fixture it;
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    CHECK(it.released() == "r1");
    it.calls.set_unresponsive("s");
    it.list("s", "y", true);
    own.record(fixture::used("r2"));
    CHECK(it.released() == "r2");
    auto &other = it.start("b", "z");
    CHECK(fixture::eventually([&] { return other.held() == 2; }));
}

// Guards against a record that is not held because the first peer failed, although another one is reachable.
TEST_CASE("a peer that cannot be reached is replaced by another one") {
    fixture it;
    auto &other = it.start("b", "x");
    it.list("gone", "y", true);
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    CHECK(it.released() == "r1");
    CHECK(fixture::eventually([&] { return other.held() == 1; }));
}

// Guards against records that stay in the peer's memory after their owner has stored them.
TEST_CASE("a flush stores the records and releases the peer") {
    fixture it;
    auto &other = it.start("b", "y");
    auto &own = it.start("a", "x", 200ms);
    own.record(fixture::used("r1"));
    CHECK(it.released() == "r1");
    CHECK(fixture::eventually([&] { return own.unstored_count() == 0 && other.held() == 0; }));
    CHECK(it.stored()["a-1"] == 1);
}

// Guards against usage records that are lost with their owner.
TEST_CASE("a peer stores the records of an owner that is gone") {
    fixture it;
    auto &other = it.start("b", "y");
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    own.record(fixture::used("r2"));
    CHECK(it.released() == "r1");
    CHECK(it.released() == "r2");
    REQUIRE(fixture::eventually([&] { return other.held() == 2; }));
    SUBCASE("unresponsive and no longer listed as live") {
        it.calls.remove("a");
        it.list("a", "x", false);
    }
    SUBCASE("replaced by another incarnation at its address") {
        it.calls.set("a", [](const http::request &) { return http::response{200, {}, R"({"incarnation":"a-2"})"}; });
    }
    CHECK(fixture::eventually([&] { return other.held() == 0; }));
    CHECK(it.stored()["a-1"] == 2);
}

// Guards against the loss of the only other copy with the process of the peer that holds it.
TEST_CASE("records are sent to another peer when the peer that holds them is gone") {
    fixture it;
    auto &other = it.start("b", "y");
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    CHECK(it.released() == "r1");
    REQUIRE(fixture::eventually([&] { return other.held() == 1; }));
    it.list("b", "y", false);
    it.calls.remove("b");
    auto &next = it.start("c", "z");
    CHECK(fixture::eventually([&] { return next.held() == 1; }));
}

// Guards against a graceful stop that leaves own or held records in memory only.
TEST_CASE("a stop stores own records and those of peers") {
    fixture it;
    auto &other = it.start("b", "y");
    auto &own = it.start("a", "x");
    own.record(fixture::used("r1"));
    other.record(fixture::used("r2"));
    (void)it.released();
    (void)it.released();
    REQUIRE(fixture::eventually([&] { return other.held() == 1 && own.held() == 1; }));
    other.stop();
    CHECK(it.stored()["a-1"] == 1);
    CHECK(it.stored()["b-1"] == 1);
    CHECK(own.unstored_count() == 1);
}

} // namespace dotterelstack
