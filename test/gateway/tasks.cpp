#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>

#include "gateway/config_peer_task.hpp"
#include "gateway/config_source.hpp"
#include "gateway/fixture.hpp"
#include "gateway/member_task.hpp"
#include "gateway/peer_call.hpp"
#include "gateway/server_source.hpp"
#include "gateway/store_feed.hpp"
#include "gateway/usage_window_reporter.hpp"
#include "http/server.hpp"
#include "lease/lease_state_machine.hpp"
#include "platform/object_codec.hpp"
#include "store/memory_store.hpp"
#include "support/tcp_relay.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Store whose watch can report a lost history. */
struct history_loss_store final : store::object_store {
    store::memory_store inner;
    bool history_lost{false};
    base::duration last_wait{0}; /**< Of the latest watch. */

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
        last_wait = limits.wait;
        if (history_lost && since != 0) {
            history_lost = false;
            return base::fail(base::error_kind::not_found, "history_lost", "list, then compare");
        }
        return inner.watch(prefix, since, {});
    }
};

struct fake_duties final : gateway::usage_report_port {
    struct report {
        std::uint64_t window{0};
        gateway::start_counts counts;
        std::uint64_t fence{0};
    };
    std::vector<report> reports;
    std::optional<base::error> failure;

    base::result<void> report_usage(std::uint64_t window, const gateway::start_counts &counts,
                                    std::uint64_t fence) override {
        reports.push_back({window, counts, fence});
        if (failure) {
            return boost::outcome_v2::failure(*failure);
        }
        return base::success();
    }
};

/** A store with the records of two gateways, and a held lease. */
struct usage_fixture {
    base::manual_clock clock;
    std::uint64_t now{100'000};
    store::memory_store store;
    base::id_source ids{1};
    fake_duties duties;
    gateway::member_directory members{clock};
    lease::lease_state_machine lease_state{clock, {.name = "usage", .holder = "me", .term = 60s}};
    gateway::usage_window_reporter subject{make()};

    usage_fixture() {
        for (int n = 0; n < 3 && !lease_state.held(); ++n) {
            (void)lease::drive_lease(lease_state, store, ids);
        }
        REQUIRE(lease_state.held());
        publish("g1", {{19, {{"sangh", 4}}}, {20, {{"sangh", 1}}}});
        publish("g2", {{19, {{"sangh", 2}, {"ward", 3}}}});
    }

    gateway::usage_window_reporter make() {
        return gateway::usage_window_reporter{{}, {clock, [this] { return now; }, store, ids, duties, members}};
    }

    /** @param window Window in which the gateway published; its counts of earlier windows are final. */
    void publish(const std::string &id, gateway::window_counts counts, std::uint64_t window = 20,
                 const std::string &address = "") {
        const auto key = std::string{gateway::members_prefix} + id;
        const auto found = store.get(key);
        const auto version = found.value() ? found.value()->version : store::absent;
        const gateway::member_record record{id, address.empty() ? id + ":7" : address, std::move(counts), window};
        REQUIRE(store.put(key, gateway::to_json(record).dump(), version));
    }

    [[nodiscard]] std::vector<fake_duties::report> of_window(std::uint64_t window) const {
        std::vector<fake_duties::report> out;
        for (const auto &it : duties.reports) {
            if (it.window == window) {
                out.push_back(it);
            }
        }
        return out;
    }
};

const std::string server_entry =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":2,"State":"ready",)"
    R"("ColdRemainingMs":0,"Sequence":4})";

const std::string config_text = R"({"Version":7,"Routes":[],"Services":[],"Tenants":[]})";

} // namespace

// Guards against changes that are missed after the store has dropped its history.
TEST_CASE("a feed lists, watches, and lists again when the history is lost") {
    history_loss_store store;
    REQUIRE(store.put("servers/a", "1", store::absent));
    std::vector<std::size_t> lists;
    std::vector<std::string> changes;
    int failures = 0;
    gateway::store_feed it{store,
                           "servers/",
                           {},
                           {[&](const auto &all) { lists.push_back(all.size()); },
                            [&](const auto &batch) {
                                std::ranges::transform(batch, std::back_inserter(changes),
                                                       [](const auto &change) { return change.item.key; });
                            },
                            [] {}, [&](const auto &) { ++failures; }}};
    CHECK(it.step() == 0ms);
    REQUIRE(store.put("servers/b", "1", store::absent));
    CHECK(it.step() == 0ms);
    CHECK(changes == std::vector<std::string>{"servers/b"});
    REQUIRE(store.put("servers/c", "1", store::absent));
    store.history_lost = true;
    (void)it.step();
    (void)it.step();
    CHECK(lists == std::vector<std::size_t>{1, 3});
    store.inner.set_faults({.outage = true});
    CHECK(it.step() == 0ms);
    CHECK(failures == 1);
    CHECK(it.step() > 0ms);
    CHECK(failures == 2);
    CHECK(it.step() > 0ms);
}

// Guards against a pause, or a wait for changes, between a call on a silent connection and the one that replaces it.
TEST_CASE("a feed repeats a failed call at once, and asks the store to answer without waiting for changes") {
    history_loss_store store;
    gateway::store_feed it{store,
                           "servers/",
                           {.watch_wait = 1500ms},
                           {[](const auto &) {}, [](const auto &) {}, [] {}, [](const auto &) {}}};
    (void)it.step();
    (void)it.step();
    CHECK(store.last_wait == 1500ms);
    store.inner.set_faults({.outage = true});
    CHECK(it.step() == 0ms);
    store.inner.set_faults({});
    (void)it.step();
    CHECK(store.last_wait <= 100ms);
    (void)it.step();
    CHECK(store.last_wait == 1500ms);
}

// Guards against counting a start in the wrong window.
TEST_CASE("starts are counted by window and organisation") {
    std::uint64_t now = 9'999;
    gateway::windowed_start_counter it{[&now] { return now; }, 5s, 2};
    it.on_start("sangh");
    now = 10'000;
    it.on_start("sangh");
    it.on_start("ward");
    CHECK(it.counts() == gateway::window_counts{{1, {{"sangh", 1}}}, {2, {{"sangh", 1}, {"ward", 1}}}});
    now = 15'000;
    it.on_start("ward");
    CHECK(it.counts().size() == 2);
    CHECK(it.current_window() == 3);
}

// Guards against missing other live gateways, and against counting those that have gone.
TEST_CASE("gateways discover each other through their records") {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    std::uint64_t now_ms = 1;
    const gateway::windowed_start_counter starts{[&now_ms] { return now_ms; }, 5s, 6};
    gateway::member_directory members_a{clock};
    gateway::member_directory members_b{clock};
    std::uint32_t count_a = 0;
    std::uint32_t count_b = 0;
    gateway::member_task a{{.name = "a", .incarnation = "i1", .peer_address = "10.0.0.1:7"},
                           {clock, store, ids, starts, members_a, [&](const auto &all) { count_a = all.size(); }}};
    gateway::member_task b{{.name = "b", .incarnation = "i2", .peer_address = "10.0.0.2:7"},
                           {clock, store, ids, starts, members_b, [&](const auto &all) { count_b = all.size(); }}};
    CHECK(a.publish());
    CHECK(b.publish());
    a.refresh_members();
    b.refresh_members();
    CHECK(count_a == 2);
    CHECK(count_b == 2);
    CHECK(a.peers() == std::vector<std::string>{"10.0.0.2:7"});
    clock.advance(26s);
    now_ms += 26'000;
    CHECK(a.publish());
    b.refresh_members();
    a.refresh_members();
    CHECK(count_b == 2);
    CHECK(count_a == 1);
}

// Guards against losing the latest counts because the store is unavailable during the shutdown.
TEST_CASE("a stopping gateway repeats the write of its last record until it succeeds or the deadline passes") {
    const base::boottime_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    const gateway::windowed_start_counter starts{[] { return std::uint64_t{1}; }, 5s, 6};
    gateway::member_directory members{clock};
    gateway::member_task it{{.name = "a", .incarnation = "i1", .peer_address = "10.0.0.1:7", .retry_after = 20ms},
                            {clock, store, ids, starts, members, [](const auto &) {}}};
    store.set_faults({.outage = true});
    it.start();
    std::jthread recovery{[&store] {
        std::this_thread::sleep_for(100ms);
        store.set_faults({});
    }};
    it.stop(clock.now() + 20s);
    CHECK(store.get(std::string{gateway::members_prefix} + "i1").value());
}

// Guards against a record that can no longer be written after a lost answer.
TEST_CASE("a record whose write was not answered is written again") {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    const gateway::windowed_start_counter starts{[] { return std::uint64_t{1}; }, 5s, 6};
    gateway::member_directory members{clock};
    gateway::member_task it{{.name = "a", .incarnation = "i1", .peer_address = "10.0.0.1:7"},
                            {clock, store, ids, starts, members, [](const auto &) {}}};
    store.set_faults({.outage = true});
    CHECK_FALSE(it.publish());
    store.set_faults({});
    store.set_faults_once({.lose_answers = true}, 5);
    (void)it.publish();
    store.set_faults({});
    CHECK(it.publish());
}

// Guards against repeated reports with different counts after a crash, a lost answer or a change of lease holder.
TEST_CASE("a window is sealed once, and its report is repeated unchanged") {
    usage_fixture it;
    it.now = 103'500;
    it.duties.failure = base::error{base::error_kind::unknown_outcome, "no_answer", ""};
    it.subject.work(*it.lease_state.authority());
    REQUIRE(it.of_window(19).size() == 1);
    CHECK(it.of_window(19).front().counts == gateway::start_counts{{"sangh", 6}, {"ward", 3}});
    // Later counts and a new lease holder do not change the report.
    it.publish("g2", {{19, {{"sangh", 50}}}});
    it.duties.failure.reset();
    auto successor = it.make();
    successor.work(*it.lease_state.authority());
    REQUIRE(it.of_window(19).size() == 2);
    CHECK(it.of_window(19).back().counts == it.of_window(19).front().counts);
    successor.work(*it.lease_state.authority());
    CHECK(it.of_window(19).size() == 2);
}

// Guards against sealing windows in which gateways still count. Sealing a fixed time after the end of a window, or
// right after a store outage, gave counts that were off by up to a third.
TEST_CASE("a window is sealed when every gateway has published its end") {
    usage_fixture it;
    it.now = 100'200;
    it.publish("g2", {{19, {{"sangh", 2}, {"ward", 3}}}}, 19);
    it.subject.work(*it.lease_state.authority());
    CHECK(it.of_window(19).empty());
    it.store.set_faults({.outage = true});
    it.now = 104'000;
    it.subject.work(*it.lease_state.authority());
    it.store.set_faults({});
    it.subject.work(*it.lease_state.authority());
    CHECK(it.of_window(19).empty());
    it.publish("g2", {{19, {{"sangh", 20}}}});
    it.subject.work(*it.lease_state.authority());
    REQUIRE(it.of_window(19).size() == 1);
    CHECK(it.of_window(19).front().counts.at("sangh") == 24);
    CHECK(it.of_window(20).empty());
}

// Guards against late reports because a gateway has crashed, and against waiting for a gateway that was replaced.
TEST_CASE("a gateway that no longer publishes delays a window only until its report must be sent") {
    usage_fixture it;
    it.now = 107'499;
    it.publish("g2", {{19, {{"sangh", 2}}}}, 19);
    it.subject.work(*it.lease_state.authority());
    CHECK(it.of_window(19).empty());
    it.now = 107'500;
    it.subject.work(*it.lease_state.authority());
    REQUIRE(it.of_window(19).size() == 1);
    CHECK(it.of_window(19).front().counts.at("sangh") == 6);

    usage_fixture removed;
    removed.now = 100'500;
    removed.publish("g2", {{17, {{"sangh", 2}}}}, 17);
    removed.subject.work(*removed.lease_state.authority());
    CHECK(removed.of_window(19).size() == 1);

    usage_fixture other;
    other.now = 101'000;
    other.publish("g2", {{19, {{"sangh", 2}}}}, 19);
    other.publish("g3", {{19, {{"sangh", 1}}}}, 20, "g2:7");
    other.subject.work(*other.lease_state.authority());
    REQUIRE(other.of_window(19).size() == 1);
    CHECK(other.of_window(19).front().counts.at("sangh") == 7);
}

// Guards against reports from a lease holder that has been superseded.
TEST_CASE("a superseded holder stops reporting") {
    usage_fixture it;
    it.now = 103'500;
    it.duties.failure = base::error{base::error_kind::refused, "fence_outdated", ""};
    it.subject.work(*it.lease_state.authority());
    const auto calls = it.duties.reports.size();
    CHECK(calls == 1);
    it.subject.work(*it.lease_state.authority());
    CHECK(it.duties.reports.size() == calls);
}

// Guards against reports after the lease has expired.
TEST_CASE("without the lease nothing is sealed or reported") {
    usage_fixture it;
    it.now = 103'500;
    const auto authority = *it.lease_state.authority();
    it.clock.advance(61s);
    it.subject.work(authority);
    CHECK(it.duties.reports.empty());
}

// Guards against asking peers only between two calls to the store that hang, and against asking while the store
// answers.
TEST_CASE("peers are asked when the store has failed or its answer is overdue, and then at intervals") {
    base::manual_clock clock;
    int rounds = 0;
    gateway::config_peer_task it{{.overdue = 1700ms, .ask_every = 300ms}, clock, [&rounds] { ++rounds; }};
    CHECK(it.step() == 1700ms);
    clock.advance(1500ms);
    it.on_store_call(true);
    clock.advance(1600ms);
    CHECK(it.step() == 100ms);
    CHECK(rounds == 0);
    clock.advance(100ms);
    (void)it.step();
    CHECK(rounds == 1);
    CHECK(it.step() == 300ms);
    it.on_store_call(false);
    CHECK(it.step() == 300ms);
    clock.advance(300ms);
    (void)it.step();
    CHECK(rounds == 2);
    it.on_store_call(true);
    clock.advance(1s);
    CHECK(it.step() == 700ms);
    it.on_store_call(false);
    (void)it.step();
    CHECK(rounds == 3);
}

// Guards against queries that fail one after the other, each on a connection to another peer that has gone silent.
TEST_CASE("a query to a peer does not depend on an earlier connection") {
    http::server server;
    auto address = server.start("127.0.0.1:0", http::answer_with([](const http::request &) {
                                    return http::response{200, {}, "known"};
                                }));
    REQUIRE(address);
    test::tcp_relay path{address.value()};
    http::curl_client client;
    REQUIRE(gateway::ask_peer(client, path.address(), "/"));
    path.silence_open();
    CHECK(gateway::ask_peer(client, path.address(), "/"));
}

// Guards against accepting revoked keys at gateways that cannot reach the store.
TEST_CASE("a gateway without the store takes newer configurations from its peers, and never older ones") {
    base::manual_clock clock;
    const platform::object_codec codec;
    http::curl_client client;
    std::vector<std::uint64_t> adopted;
    gateway::config_source informed{{clock, codec, client, [] { return std::vector<std::string>{}; }, [](auto) {}}};
    http::server server;
    const auto address = server.start(
        "127.0.0.1:0", http::answer_with([&](const auto &message) { return informed.answer_peer(message); }));
    REQUIRE(address);
    gateway::config_source cut_off{{clock, codec, client, [&] { return std::vector<std::string>{address.value()}; },
                                    [&](const auto &it) { adopted.push_back(it->version()); }}};
    cut_off.ask_peers();
    CHECK(adopted.empty());
    informed.on_object({"config/main", 5, config_text});
    informed.on_object({"config/other", 6, R"({"Version":99})"});
    cut_off.ask_peers();
    cut_off.ask_peers();
    CHECK(adopted == std::vector<std::uint64_t>{7});
    cut_off.on_object({"config/main", 4, R"({"Version":6,"Routes":[],"Services":[]})"});
    cut_off.on_object({"config/main", 4, "no json"});
    CHECK(adopted == std::vector<std::uint64_t>{7});
    CHECK(cut_off.version() == 7);
}

// Guards against refusals by a configuration that may be out of date, and against doubting one that a peer confirms.
TEST_CASE("a configuration is confirmed by the store, or by a peer as of the time at which the store told it") {
    base::manual_clock clock;
    clock.advance(1min);
    const platform::object_codec codec;
    http::curl_client client;
    const auto nobody = [] { return std::vector<std::string>{}; };
    gateway::config_source informed{{clock, codec, client, nobody, [](auto) {}}};
    http::server server;
    const auto address = server.start(
        "127.0.0.1:0", http::answer_with([&](const auto &message) { return informed.answer_peer(message); }));
    REQUIRE(address);
    gateway::config_source cut_off{
        {clock, codec, client, [&] { return std::vector<std::string>{address.value()}; }, [](auto) {}}};
    cut_off.ask_peers();
    CHECK_FALSE(cut_off.confirmed_within(1h));
    informed.on_object({"config/main", 5, config_text});
    CHECK_FALSE(informed.confirmed_within(1h));
    informed.on_store_answer();
    CHECK(informed.confirmed_within(0ms));
    clock.advance(1500ms);
    CHECK_FALSE(informed.confirmed_within(1400ms));
    cut_off.ask_peers();
    CHECK(cut_off.version() == 7);
    CHECK(cut_off.confirmed_within(1500ms));
    CHECK_FALSE(cut_off.confirmed_within(1400ms));
    // A version that cannot be taken is not confirmed by its age, and no peer confirms what it does not say.
    clock.advance(1s);
    http::response odd{200, {{"Confirmed-Ms-Ago", "0"}}, "no json"};
    http::server odd_server;
    const auto odd_address = odd_server.start("127.0.0.1:0", http::answer_with([&odd](const auto &) { return odd; }));
    REQUIRE(odd_address);
    gateway::config_source misled{
        {clock, codec, client, [&] { return std::vector<std::string>{odd_address.value()}; }, [](auto) {}}};
    misled.ask_peers();
    for (const auto *age : {"-1", "9223372036854775807", "1x", ""}) {
        odd = {204, {{"Confirmed-Ms-Ago", age}}, ""};
        misled.ask_peers();
    }
    CHECK_FALSE(misled.confirmed_within(1h));
    // A peer that has nothing newer confirms as well.
    informed.on_store_answer();
    cut_off.ask_peers();
    CHECK(cut_off.confirmed_within(0ms));
}

// Guards against a version that is taken for the newest one without end, with keys that may have been withdrawn,
// because the store goes on answering while its newest version cannot be read (review/1, related path).
TEST_CASE("the store does not confirm a configuration while its newest one cannot be read") {
    base::manual_clock clock;
    clock.advance(1min);
    const platform::object_codec codec;
    http::curl_client client;
    gateway::config_source subject{{clock, codec, client, [] { return std::vector<std::string>{}; }, [](auto) {}}};
    CHECK(subject.on_object({"config/main", 5, config_text}));
    subject.on_store_answer();
    clock.advance(5s);
    for (const std::string unreadable : {"null", R"({"Version":8,"Routes":[],"Tenants":null})"}) {
        CAPTURE(unreadable);
        CHECK_FALSE(subject.on_object({"config/main", 6, unreadable}));
        subject.on_store_answer();
        CHECK_FALSE(subject.confirmed_within(4s));
        CHECK(subject.version() == 7);
    }
    // An object that is not the configuration says nothing of it, and an older one nothing of the newest.
    CHECK_FALSE(subject.on_object({"config/other", 9, config_text}));
    CHECK(subject.on_object({"config/main", 5, config_text}));
    subject.on_store_answer();
    CHECK_FALSE(subject.confirmed_within(4s));
    CHECK(subject.on_object({"config/main", 8, config_text}));
    subject.on_store_answer();
    CHECK(subject.confirmed_within(0ms));
}

// Guards against a gateway that serves nothing because it started while the store was unavailable.
TEST_CASE("a gateway that starts without the store takes the server list from a peer") {
    base::manual_clock clock;
    const platform::object_codec codec;
    http::curl_client client;
    gateway::server_source informed{{clock, codec, client, [] { return std::vector<std::string>{}; }, [](auto) {}}};
    http::server server;
    const auto address =
        server.start("127.0.0.1:0", http::answer_with([&](const http::request &) { return informed.answer_peer(); }));
    REQUIRE(address);
    std::vector<std::size_t> seen;
    gateway::server_source fresh{{clock, codec, client, [&] { return std::vector<std::string>{address.value()}; },
                                  [&](const auto &all) { seen.push_back(all.size()); }}};
    fresh.on_failed(gateway::store_failure::no_answer);
    CHECK(seen.empty());
    informed.on_answered();
    informed.on_list({{"servers/a", 5, server_entry}, {"servers/b", 6, "unreadable"}});
    informed.on_changes(std::array{store::watch_event{{"servers/c", 7, server_entry}, false}});
    fresh.on_failed(gateway::store_failure::no_answer);
    fresh.on_failed(gateway::store_failure::no_answer);
    CHECK(seen == std::vector<std::size_t>{2});
    // A later list from the store replaces it.
    fresh.on_answered();
    fresh.on_list({{"servers/a", 5, server_entry}});
    CHECK(seen.back() == 2);
    clock.advance(3s);
    fresh.on_answered();
    CHECK(seen.back() == 1);
}

// Guards against a process that ends because one field of a peer's answer has another type (review/3, related path).
TEST_CASE("entries in a peer's list of servers that cannot be read cost only themselves") {
    base::manual_clock clock;
    const platform::object_codec codec;
    http::curl_client client;
    http::server server;
    std::string body;
    const auto address = server.start("127.0.0.1:0", http::answer_with([&](const http::request &) {
                                          return http::response{200, {}, body};
                                      }));
    REQUIRE(address);
    std::vector<std::size_t> seen;
    gateway::server_source subject{{clock, codec, client, [&] { return std::vector<std::string>{address.value()}; },
                                    [&](const auto &all) { seen.push_back(all.size()); }}};
    for (const std::string text : {"", "7", "{}", "[7]", R"([{"key":7,"revision":1,"value":""}])",
                                   R"([{"key":"servers/x","revision":"1","value":"{}"}])",
                                   R"([{"key":"servers/x","revision":1,"value":[[]]}])"}) {
        CAPTURE(text);
        body = text;
        subject.on_failed(gateway::store_failure::no_answer);
        CHECK(seen.empty());
    }
    body = nlohmann::json::array({{{"key", 7}, {"revision", 1}, {"value", ""}},
                                  {{"key", "servers/a"}, {"revision", 5}, {"value", server_entry}}})
               .dump();
    subject.on_failed(gateway::store_failure::no_answer);
    CHECK(seen == std::vector<std::size_t>{1});
}

// Thousands of backend servers start together. Guards against a copy of the whole list for each of them: the copies
// waited in the queue of the forwarder and took hundreds of megabytes.
TEST_CASE("changes of discovery that arrive together are published as one list") {
    base::manual_clock clock;
    const platform::object_codec codec;
    http::curl_client client;
    std::vector<std::size_t> published;
    gateway::server_source subject{{clock, codec, client, [] { return std::vector<std::string>{}; },
                                    [&](const auto &all) { published.push_back(all.size()); }}};
    subject.on_list({});
    std::vector<store::watch_event> changes;
    for (std::uint64_t n = 1; n <= 500; ++n) {
        changes.push_back({{"servers/s" + std::to_string(n), n, server_entry}, false});
    }
    subject.on_changes(changes);
    CHECK(published == std::vector<std::size_t>{0, 500});
}

// A gateway is cut off from the store for eight seconds, but not from the others. Guards against a window that is
// sealed without its counts because the report must not be late.
TEST_CASE("a gateway that cannot publish is asked for its counts") {
    usage_fixture it;
    it.publish("g2", {{19, {{"sangh", 1}}}}, 19);
    std::vector<std::string> asked;
    std::optional<gateway::member_record> reply;
    gateway::usage_window_reporter subject{{},
                                           {it.clock, [&it] { return it.now; }, it.store, it.ids, it.duties, it.members,
                                            [&](std::string_view address) {
                                                asked.emplace_back(address);
                                                return reply;
                                            }}};
    it.now = 102'000;
    subject.work(*it.lease_state.authority());
    CHECK(asked.empty());
    // The same address, used by another process.
    it.now = 103'600;
    reply = gateway::member_record{"g9", "g2:7", {{19, {{"sangh", 50}}}}, 20};
    subject.work(*it.lease_state.authority());
    CHECK(asked == std::vector<std::string>{"g2:7"});
    CHECK(it.of_window(19).empty());
    reply = gateway::member_record{"g2", "g2:7", {{19, {{"sangh", 2}, {"ward", 3}}}}, 20};
    subject.work(*it.lease_state.authority());
    REQUIRE(it.of_window(19).size() == 1);
    CHECK(it.of_window(19).front().counts == gateway::start_counts{{"sangh", 6}, {"ward", 3}});
}

// Gateways of two releases run side by side while one replaces the other. Guards against records of the older form, or
// with a speed of another form, that are left out altogether.
TEST_CASE("member records carry speeds of servers, and are readable without them") {
    gateway::member_record record{"g1", "g1:7", {{19, {{"sangh", 2}}}}, 20};
    record.speeds = {{"engine-1@5", {-0.47, 31}}};
    const auto value = gateway::to_json(record);
    const auto parse = [](const nlohmann::json &it) { return gateway::parse_member({"gateways/g1", 1, it.dump()}); };
    const auto whole = parse(value);
    REQUIRE(whole);
    REQUIRE(whole.value().speeds.contains("engine-1@5"));
    CHECK(whole.value().speeds.at("engine-1@5").log_time == doctest::Approx(-0.47));
    CHECK(whole.value().speeds.at("engine-1@5").samples == 31);
    auto older = value;
    older.erase("speeds");
    REQUIRE(parse(older));
    CHECK(parse(older).value().speeds.empty());
    CHECK(parse(older).value().starts.at(19).at("sangh") == 2);
    auto other = value;
    other["speeds"]["engine-2@5"] = "fast";
    REQUIRE(parse(other));
    CHECK(parse(other).value().speeds.size() == 1);
    other["speeds"] = 7;
    CHECK(parse(other));
}
