#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "spread/poll_server.hpp"
#include "spread/poller.hpp"
#include "spread/topology.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

std::vector<spread::process> entries_of(std::size_t count) {
    std::vector<spread::process> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back({"10.0.0." + std::to_string(n) + ":4000", "domain-" + std::to_string(n % 5)});
    }
    return out;
}

std::vector<spread::start_poll> polls_in(const spread::poller_actions &actions) {
    std::vector<spread::start_poll> out;
    for (const auto &it : actions) {
        if (const auto *poll = std::get_if<spread::start_poll>(&it)) {
            out.push_back(*poll);
        }
    }
    return out;
}

std::uint64_t adopted_in(const spread::poller_actions &actions) {
    std::uint64_t out = 0;
    for (const auto &it : actions) {
        if (const auto *adopted = std::get_if<spread::adopt_version>(&it)) {
            out = adopted->version;
        }
    }
    return out;
}

spread::reply reply_of(std::uint64_t version, base::duration age = 0s) {
    return {version, age, 0s, false, {}, {}};
}

} // namespace

// Guards against processes that choose different relays, which multiplies the watches on the store.
TEST_CASE("relays do not depend on the order of the list and are few in each failure domain") {
    auto entries = entries_of(340);
    const auto relays = spread::choose_relays(entries);
    CHECK(relays.size() == 15);
    std::ranges::reverse(entries);
    CHECK(spread::choose_relays(entries) == relays);
    std::map<std::string, int> domains;
    for (const auto &it : relays) {
        ++domains[it.failure_domain];
    }
    CHECK(domains.size() == 5);
    CHECK(domains["domain-3"] == 3);
    CHECK(spread::choose_relays(entries_of(6)).size() == 5);
}

// Guards against losing both sources of a process with one failure domain, and against agents that poll the relays.
TEST_CASE("the first two sources lie in different failure domains and match the role") {
    const auto entries = entries_of(340);
    std::set<std::string> relays;
    for (const auto &it : spread::choose_relays(entries)) {
        relays.insert(it.address);
    }
    std::map<std::string, std::string> domains;
    for (const auto &it : entries) {
        domains[it.address] = it.failure_domain;
    }
    for (int n = 0; n < 100; ++n) {
        const spread::process self{"10.1.0." + std::to_string(n) + ":5000", "domain-2"};
        const auto sources = spread::order_sources(self, spread::process_role::agent, entries);
        REQUIRE(sources.size() == 340);
        CHECK(domains[sources[0]] == "domain-2");
        CHECK(domains[sources[1]] != "domain-2");
        CHECK_FALSE((relays.contains(sources[0]) || relays.contains(sources[1])));
        const auto upstream = spread::order_sources(self, spread::process_role::entry, entries);
        CHECK((relays.contains(upstream[0]) && relays.contains(upstream[1])));
    }
    const auto own = spread::order_sources(entries[7], spread::process_role::entry, entries);
    CHECK(std::ranges::find(own, entries[7].address) == own.end());
}

// Guards against adopting an older version, for any order of replies to live, failed and unknown polls.
TEST_CASE("the version never decreases and equals the maximum of all full replies") {
    CHECK(rc::check("poller against the maximum of all full replies", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        base::manual_clock clock;
        spread::poller subject{clock, [&random] { return random(); }};
        std::map<std::uint64_t, bool> open;
        std::uint64_t expected = 0;
        std::uint64_t last_adopted = 0;
        const auto process_actions = [&](const spread::poller_actions &actions) {
            for (const auto &it : polls_in(actions)) {
                open[it.id] = it.body.full;
            }
            for (const auto &it : actions) {
                if (const auto *gone = std::get_if<spread::abandon_poll>(&it)) {
                    open.erase(gone->id);
                }
            }
            if (const auto version = adopted_in(actions); version != 0) {
                RC_ASSERT(version > last_adopted);
                last_adopted = version;
            }
        };
        process_actions(subject.set_sources({"a", "b", "c", "d"}));
        for (int n = 0; n < 300; ++n) {
            clock.advance(std::chrono::milliseconds{random() % 400});
            const auto before = subject.version();
            const auto id = random() % 40 + (open.empty() ? 0 : open.begin()->first);
            if (random() % 4 == 0) {
                process_actions(subject.on_time());
            } else if (random() % 5 == 0) {
                open.erase(id);
                process_actions(subject.on_failed(id));
            } else {
                const auto it = open.find(id);
                const auto version = random() % 100;
                if (it != open.end()) {
                    expected = it->second ? std::max(expected, version) : expected;
                    open.erase(it);
                }
                process_actions(subject.on_reply(id, reply_of(version, std::chrono::milliseconds{random() % 6000})));
            }
            RC_ASSERT(subject.version() >= before);
            RC_ASSERT(subject.version() == expected);
        }
    }));
}

// Guards against a silent source that delays a change beyond the deadline of its poll.
TEST_CASE("a poll that misses its deadline is retried at the next source at once") {
    base::manual_clock clock;
    spread::poller subject{clock, [] { return 1U; }};
    const auto first = polls_in(subject.set_sources({"a", "b", "c"}));
    REQUIRE(first.size() == 2);
    CHECK(first[0].body.wait == 0s);
    CHECK((first[0].body.full && !first[1].body.full));
    const auto held = polls_in(subject.on_reply(first[0].id, reply_of(1)));
    REQUIRE(held.size() == 1);
    CHECK(held[0].body.wait == 2s);
    (void)subject.on_reply(first[1].id, reply_of(1));
    clock.advance(2500ms);
    const auto next = polls_in(subject.on_time());
    REQUIRE_FALSE(next.empty());
    CHECK(next[0].source == "c");
    CHECK(next[0].body.full);
    CHECK(subject.on_reply(held[0].id, reply_of(9)).empty());
    CHECK(adopted_in(subject.on_reply(next[0].id, reply_of(2))) == 2);
}

// Guards against a first source that answers but is itself partitioned from newer versions.
TEST_CASE("a version announced by the second source is fetched from it when the first source stays behind") {
    base::manual_clock clock;
    spread::poller subject{clock, [] { return 1U; }};
    const auto first = polls_in(subject.set_sources({"a", "b"}));
    (void)subject.on_reply(first[0].id, reply_of(1));
    CHECK(adopted_in(subject.on_reply(first[1].id, reply_of(5))) == 0);
    clock.advance(100ms);
    const auto fetch = polls_in(subject.on_time());
    REQUIRE(fetch.size() == 1);
    CHECK((fetch[0].source == "b" && fetch[0].body.full));
    CHECK(adopted_in(subject.on_reply(fetch[0].id, reply_of(5))) == 5);
}

// Guards against a process that stays behind after a partition, and against retries without a delay during it.
TEST_CASE("a partitioned process retries at a bounded rate and catches up") {
    base::manual_clock clock;
    std::mt19937_64 random{3};
    spread::poller subject{clock, [&random] { return random(); }};
    auto open = polls_in(subject.set_sources({"a", "b", "c"}));
    std::size_t attempts = 0;
    for (int n = 0; n < 600; ++n) {
        for (const auto &it : std::exchange(open, {})) {
            for (const auto &again : polls_in(subject.on_failed(it.id))) {
                open.push_back(again);
            }
            ++attempts;
        }
        clock.advance(100ms);
        for (const auto &it : polls_in(subject.on_time())) {
            open.push_back(it);
        }
    }
    CHECK(attempts < 600);
    CHECK(attempts > 100);
    clock.advance(500ms);
    auto last = polls_in(subject.on_time());
    last.insert(last.end(), open.begin(), open.end());
    REQUIRE_FALSE(last.empty());
    std::uint64_t adopted = 0;
    for (const auto &it : last) {
        if (it.body.full) {
            adopted = adopted_in(subject.on_reply(it.id, reply_of(7)));
        }
    }
    CHECK(adopted == 7);
}

// Guards against a held poll that misses a change, and against a reported age that is too low.
TEST_CASE("a held poll is answered on a change or at its deadline, with the correct age") {
    base::manual_clock clock;
    clock.advance(10s);
    spread::withdrawal_log log{5};
    spread::poll_server server{clock, log};
    CHECK(server.on_version(3, clock.now()).empty());
    CHECK(server.on_poll(1, {3, log.end(), true, 2s}).empty());
    CHECK(server.on_poll(2, {3, log.end(), false, 2s}).empty());
    CHECK(server.on_version(2, clock.now()).empty());
    CHECK(server.version() == 3);
    clock.advance(1s);
    const auto changed = server.on_version(4, clock.now() - 300ms);
    REQUIRE(changed.size() == 1);
    CHECK((changed[0].poll == 1 && changed[0].full && changed[0].body.age == 300ms));
    clock.advance(1s);
    const auto waited = server.on_time();
    REQUIRE(waited.size() == 1);
    CHECK((waited[0].poll == 2 && !waited[0].full && waited[0].body.version == 4));
    CHECK(waited[0].body.age == 1300ms);
    CHECK(waited[0].body.held == 2s);
    CHECK(server.waiting() == 0);
}

// Guards against counting the hold time of a long poll towards the age, which makes live sources look stale.
TEST_CASE("the age counts from the sending of the reply, not from the start of a held poll") {
    base::manual_clock clock;
    clock.advance(10s);
    spread::poller subject{clock, [] { return 1U; }};
    const auto first = polls_in(subject.set_sources({"a", "b"}));
    const auto held = polls_in(subject.on_reply(first[0].id, reply_of(1)));
    clock.advance(2s);
    const auto next = polls_in(subject.on_reply(held[0].id, {1, 4s, 2s, false, {}, {}}));
    CHECK(subject.confirmed() == clock.now() - 2s);
    CHECK(next[0].source == "a");
    clock.advance(1s);
    const auto other = polls_in(subject.on_reply(next[0].id, {1, 6s, 90s, false, {}, {}}));
    CHECK(subject.confirmed() >= clock.now() - 6s);
    CHECK(subject.confirmed() <= clock.now());
}

// Guards against an entry that holds more polls than its limits allow.
TEST_CASE("a busy source rejects version-only polls first and full polls last") {
    base::manual_clock clock;
    const spread::withdrawal_log log{5};
    spread::poll_server server{clock, log};
    for (std::uint64_t n = 0; n < spread::poll_server::version_poll_limit; ++n) {
        CHECK(server.on_poll(n, {0, log.end(), true, 2s}).empty());
    }
    const auto refused = server.on_poll(900, {0, log.end(), false, 2s});
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].body.busy);
    CHECK(server.on_poll(901, {0, log.end(), true, 2s}).empty());
    spread::poller subject{clock, [] { return 1U; }};
    const auto polls = polls_in(subject.set_sources({"a", "b", "c"}));
    const auto next = polls_in(subject.on_reply(polls[1].id, refused[0].body));
    REQUIRE(next.size() == 1);
    CHECK(next[0].source == "c");
}

// Guards against withdrawals that are lost when the source restarts or the log drops its oldest keys.
TEST_CASE("withdrawals are sent once per source and again after the source restarts") {
    spread::withdrawal_log log{5, 3};
    const std::vector<std::string> keys{"k1", "k2", "k1"};
    CHECK(log.add(keys) == std::vector<std::string>{"k1", "k2"});
    CHECK(log.since({5, 1}) == std::vector<std::string>{"k2"});
    CHECK(log.since({4, 2}).size() == 2);
    CHECK(log.since(log.end()).empty());
    const std::vector<std::string> more{"k3", "k4"};
    (void)log.add(more);
    CHECK(log.since({}) == std::vector<std::string>{"k2", "k3", "k4"});
    CHECK_FALSE(log.contains("k1"));
    base::manual_clock clock;
    spread::poll_server server{clock, log};
    const auto answer = server.on_poll(1, {0, {5, 2}, false, 2s});
    REQUIRE(answer.size() == 1);
    CHECK(answer[0].body.withdrawn == more);
}
