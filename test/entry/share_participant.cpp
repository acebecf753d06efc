#include "entry/share_participant.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "config/sample.hpp"
#include "entry/fake_peers.hpp"
#include "entry/share_task.hpp"
#include "limits/admission.hpp"
#include "store/memory_store.hpp"

// Inside the namespace, as the C library declares a struct `entry` in the global namespace.
namespace dotterelstack {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t limit = 6;
constexpr limits::row_key row{"north", "drafting"};

config::state_ptr limited_state() {
    auto values = test::sample_declarations();
    values.rows[{"north", "drafting"}] = {"north", "drafting", 1, limit, 1e6, 1e9, 1e9, 100};
    auto state =
        config::apply_changes(std::make_shared<const config::config_state>(),
                              std::vector<config::change>{test::make_change(1, config::declarations{}, values)});
    REQUIRE(state);
    return state.value();
}

/** An entry's participant with an admission that runs as many requests as it may. */
struct node {
    std::string name;
    entry::event_ring events{100};
    limits::admission admission;
    std::unique_ptr<entry::share_participant> participant{};
    std::set<std::string> running;
    int submitted{0};

    node(const base::clock &clock, std::string node_name) : name{std::move(node_name)}, admission{clock} {
        admission.set_row(row, {.max_concurrency = limit, .requests_per_second = 1e6, .max_queue = 100});
        admission.set_capacity("drafting", 1000);
    }

    void tick() {
        while (events.pop_for(base::duration{0})) {
        }
        participant->tick(
            [this](limits::row_key key) { return admission.status(key); },
            [this](limits::row_key key, const limits::row_share &share) { admission.set_share(key, share); });
        for (const auto &it : admission.poll()) {
            if (it.outcome == limits::verdict::admitted) {
                running.insert(it.request);
            }
        }
    }

    /** Keeps requests waiting, so that any share is used immediately. */
    void load(int wanted) {
        while (admission.status(row).waiting + running.size() < static_cast<std::size_t>(wanted)) {
            const auto id = name + std::to_string(++submitted);
            if (admission.submit({.request = id, .row = row}).outcome == limits::verdict::admitted) {
                running.insert(id);
            }
        }
    }

    void withdraw_all() {
        for (int n = 1; n <= submitted; ++n) {
            admission.cancel(name + std::to_string(n));
        }
        running.clear();
    }

    void finish_all() {
        for (const auto &it : running) {
            admission.finish(it);
        }
        running.clear();
    }
};

struct fixture {
    base::manual_clock clock;
    base::id_source ids{4};
    store::memory_store store;
    test::fake_peers calls;
    std::shared_ptr<lease::internal::authority_state> authority{std::make_shared<lease::internal::authority_state>()};
    std::atomic<bool> alone{false};
    std::map<std::string, std::unique_ptr<node>> nodes;
    std::vector<std::string> lender_candidates; /**< Entries that can be chosen as lenders. */
    limits::share_epoch epoch;

    fixture() {
        authority->fence = 7;
        authority->valid_until = std::numeric_limits<base::duration::rep>::max();
    }
    fixture(const fixture &) = delete;
    fixture &operator=(const fixture &) = delete;
    fixture(fixture &&) = delete;
    fixture &operator=(fixture &&) = delete;
    ~fixture() {
        for (auto &[name, it] : nodes) {
            it->participant->stop();
        }
    }

    /** Starts an entry; entry `a` holds the lease `shares`. */
    node &start(const std::string &name) {
        auto &out = nodes[name] = std::make_unique<node>(clock, name);
        out->participant = std::make_unique<entry::share_participant>(
            entry::share_participant_options{.incarnation = name, .epoch_interval = 2ms},
            entry::share_participant::dependencies{
                clock, store, out->events, calls, [this] { return alone.load(); },
                [this, name] {
                    return name == "a" ? std::optional{lease::authority_check{authority, clock, 7}} : std::nullopt;
                },
                [this, name] { return others_of(name); }});
        out->participant->set_config(*limited_state());
        out->tick();
        out->participant->start();
        calls.set(name, [&to = *out->participant](const http::request &message) {
            return message.target == "/shares/epoch" ? to.on_epoch_query() : to.on_demand(message);
        });
        return *out;
    }

    std::vector<entry::peer_entry> others_of(const std::string &name) const {
        std::vector<entry::peer_entry> out;
        for (const auto &it : lender_candidates) {
            if (it != name) {
                out.push_back({it, it, "x", true});
            }
        }
        return out;
    }

    void write_epoch(const std::vector<std::string> &entries) {
        std::vector<std::string> applied;
        for (const auto &[name, it] : nodes) {
            if (it->participant->epoch() == epoch.number) {
                applied.push_back(name);
            }
        }
        epoch = limits::plan_epoch(epoch, entries, applied, {});
        entry::epoch_object value{epoch, {}, "a", 0};
        for (const auto &[name, it] : nodes) {
            value.locations[name] = {name, name};
        }
        const auto found = store.get(entry::share_epoch_key).value();
        REQUIRE(
            store.put(entry::share_epoch_key, entry::to_json(value).dump(), found ? found->version : store::absent));
    }

    std::size_t running() const {
        std::size_t out = 0;
        for (const auto &[name, it] : nodes) {
            out += it->running.size();
        }
        return out;
    }

    /** Advances in steps of 50 ms until the condition is met and checks that the running requests never exceed the
     * limit. */
    template<typename Condition>
    bool step_until(int wanted, Condition condition) {
        const auto end = std::chrono::steady_clock::now() + 60s;
        std::size_t most = 0;
        bool met = false;
        while (!met && std::chrono::steady_clock::now() < end) {
            clock.advance(50ms);
            for (auto &[name, it] : nodes) {
                it->load(wanted);
                it->tick();
                most = std::max(most, running());
            }
            // Gives the participants' threads time to read and confirm the epoch; the result of the test does not
            // depend on it.
            std::this_thread::sleep_for(1ms);
            met = condition();
        }
        CHECK(most <= limit);
        return met;
    }
};

} // namespace

// Guards against an entry that admits requests before it has a share, and against a sole entry that never gets one.
TEST_CASE("without an epoch only a sole entry uses the limit") {
    fixture it;
    auto &a = it.start("a");
    CHECK(a.admission.submit({.request = "early", .row = row}).outcome != limits::verdict::admitted);
    it.alone = true;
    CHECK(it.step_until(20, [&] { return a.running.size() == limit; }));
    it.alone = false;
    CHECK(it.step_until(20, [&] {
        a.finish_all();
        a.tick();
        return a.running.empty();
    }));
}

// Guards against two entries that together exceed the row's limit, and against a limit that is not fully used.
TEST_CASE("two entries share a limit without exceeding it") {
    fixture it;
    auto &a = it.start("a");
    auto &b = it.start("b");
    it.write_epoch({"a", "b"});
    CHECK(it.step_until(20, [&] { return it.running() == limit; }));
    CHECK(a.running.size() >= 1);
    CHECK(b.running.size() >= 1);
    // Amounts that one entry gives back become available to the other.
    const auto end = std::chrono::steady_clock::now() + 60s;
    while (b.running.size() < limit - 1 && std::chrono::steady_clock::now() < end) {
        it.clock.advance(50ms);
        a.withdraw_all();
        b.load(20);
        a.tick();
        b.tick();
        CHECK(it.running() <= limit);
        std::this_thread::sleep_for(1ms);
    }
    CHECK(b.running.size() >= limit - 1);
}

// Guards against a joining entry that uses its share while others still use their larger shares of the previous epoch.
TEST_CASE("an entry that joins gets a share, and the limit is not exceeded") {
    fixture it;
    auto &a = it.start("a");
    it.write_epoch({"a"});
    CHECK(it.step_until(20, [&] { return a.running.size() == limit; }));
    auto &b = it.start("b");
    CHECK(it.step_until(20, [&] { return a.participant->epoch() == 1 && b.participant->epoch() == 1; }));
    CHECK(b.running.empty());
    it.write_epoch({"a", "b"});
    CHECK(it.step_until(20, [&] {
        a.finish_all();
        return b.running.size() >= 2;
    }));
}

// Guards against limits that are exceeded or cannot be used when neither the store nor the lease holder responds.
TEST_CASE("with the store down, the floors of the last epoch stay in force") {
    fixture it;
    auto &a = it.start("a");
    auto &b = it.start("b");
    it.write_epoch({"a", "b"});
    CHECK(it.step_until(20, [&] { return it.running() == limit; }));
    it.store.set_faults({.outage = true});
    it.authority->valid_until = 0;
    // Confirmation and grants expire within 5 s.
    for (int n = 0; n < 120; ++n) {
        it.clock.advance(50ms);
        a.finish_all();
        b.finish_all();
        for (auto *each : {&a, &b}) {
            each->load(20);
            each->tick();
        }
        CHECK(it.running() <= limit);
    }
    const auto floor = limits::floor_of(limit, it.epoch.members.front().divisor);
    CHECK(floor > 0);
    CHECK(a.running.size() == floor);
    CHECK(b.running.size() == floor);
}

// Guards against an entry that serves nothing until the store is back, and against a lender that still uses what it
// has lent, also when a new epoch reduces its floor.
TEST_CASE("an entry that starts while the store is down borrows from the floors of another entry") {
    fixture it;
    it.lender_candidates = {"a", "gone", "c"};
    auto &a = it.start("a");
    it.write_epoch({"a"});
    CHECK(it.step_until(20, [&] { return a.running.size() == limit; }));
    it.store.set_faults({.outage = true});
    it.authority->valid_until = 0;
    auto &c = it.start("c");
    // Finishes all requests at each step, so that shares can move between the entries.
    const auto after_finishing = [&](bool met) {
        a.finish_all();
        c.finish_all();
        return met;
    };
    CHECK(it.step_until(20, [&] { return after_finishing(!c.running.empty()); }));
    CHECK(it.step_until(20, [&] { return after_finishing(!a.running.empty() && !c.running.empty()); }));
    it.store.set_faults({});
    it.authority->valid_until = std::numeric_limits<base::duration::rep>::max();
    it.write_epoch({"a", "c"});
    CHECK(it.step_until(20, [&] {
        return after_finishing(a.participant->epoch() == 2 && c.participant->epoch() == 2 && it.running() == limit);
    }));
}

// Guards against members that are missing from the epoch, and against a restarted entry that counts twice.
TEST_CASE("the lease holder writes the entries that respond into the epoch") {
    const base::boottime_clock clock;
    base::id_source ids{5};
    store::memory_store store;
    test::fake_peers calls;
    const auto answer_as = [&calls](const std::string &incarnation) {
        calls.set("b", [incarnation](const http::request &) {
            return http::response{
                200, {}, nlohmann::json{{"name", "host-b"}, {"incarnation", incarnation}, {"share_epoch", 0}}.dump()};
        });
    };
    answer_as("b-1");
    std::atomic<std::uint64_t> applied{0};
    entry::share_task task{{},
                           {.incarnation = "a-1", .host = "host-a", .interval = 5ms},
                           {clock, store, ids, calls, [] { return true; },
                            [] {
                                return std::vector<entry::peer_entry>{{"host-b", "b", "y", true}};
                            },
                            [&applied] { return applied.load(); },
                            [&applied](const entry::epoch_object &it) { applied = it.epoch.number; }}};
    task.start("a");
    const auto members = [&store] {
        std::set<std::string> out;
        const auto found = store.get(entry::share_epoch_key).value();
        if (found) {
            const auto value = entry::parse_epoch(*found);
            REQUIRE(value);
            for (const auto &it : value.value().epoch.members) {
                out.insert(it.entry);
            }
        }
        return out;
    };
    const auto becomes = [&](const std::set<std::string> &wanted) {
        const auto end = std::chrono::steady_clock::now() + 60s;
        while (members() != wanted && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(2ms);
        }
        return members() == wanted;
    };
    CHECK(becomes({"a-1", "b-1"}));
    CHECK(task.authority());
    answer_as("b-2");
    CHECK(becomes({"a-1", "b-2"}));
    task.stop();
    CHECK_FALSE(task.authority());
}

} // namespace dotterelstack
