#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

#include "claim/claim_registry.hpp"
#include "store/memory_store.hpp"

using namespace dotterelstack;
using claim::claim_verdict;
using namespace std::chrono_literals;

namespace {

// The plain service: counts the runs of each booking.
struct service {
    std::map<std::string, int> runs;

    [[nodiscard]] int most() const {
        int out = 0;
        for (const auto &[key, n] : runs) {
            out = std::max(out, n);
        }
        return out;
    }
};

enum class reply {
    done,
    not_run,
    other
};

// The naive entry remembers the keys it has run in its own memory.
struct naive_entry {
    service &target;
    std::set<std::string> seen{};

    reply book(const std::string &key) {
        if (seen.insert(key).second) {
            ++target.runs[key];
        }
        return reply::done;
    }
};

// Naive use of the store: a write without answer counts as failed, and the caller is told "not run" after the run
// or runs again although the claim is there.
struct naive_store_entry {
    service &target;
    store::object_store &store;

    reply book(const std::string &key) {
        const auto found = store.get("claim/" + key);
        if (found && found.value()) {
            return reply::done;
        }
        ++target.runs[key];
        return store.put("claim/" + key, "ran", store::absent) ? reply::done : reply::not_run;
    }
};

struct entry {
    service &target;
    store::object_store &store;
    base::manual_clock &clock;
    base::id_source &ids;
    claim::claim_registry registry;
    bool dies_after_run{false};
    int requests{0};

    entry(service &runs, store::object_store &where, base::manual_clock &time, base::id_source &source,
          const std::string &owner)
        : target{runs}, store{where}, clock{time}, ids{source}, registry{time,
                                                                         {.owner = owner, .buckets = 1},
                                                                         [](std::string_view it) {
                                                                             return it.starts_with("dead");
                                                                         }} {}

    reply call(const std::string &key) {
        const std::string id = ids.next();
        registry.submit({id, "org", "booking", key, "hash"});
        for (int n = 0; n < 40; ++n) {
            clock.advance(100ms);
            claim::drive_claims(registry, store, ids);
            for (const auto &it : registry.take_decisions()) {
                return act(it, key);
            }
        }
        FAIL("no decision");
        return reply::other;
    }

    reply act(const claim::claim_decision &it, const std::string &key) {
        if (it.verdict == claim_verdict::run) {
            ++target.runs[key];
            if (!dies_after_run) {
                registry.finish(it.request_id, {201, "", "booked", true});
                clock.advance(100ms);
                claim::drive_claims(registry, store, ids);
            }
            return reply::done;
        }
        if (it.verdict == claim_verdict::replay) {
            CHECK(it.answer.body == "booked");
            return reply::done;
        }
        return it.verdict == claim_verdict::refused ? reply::not_run : reply::other;
    }
};

struct fixture {
    service target;
    store::memory_store store;
    base::manual_clock clock;
    base::id_source ids{11};

    std::unique_ptr<entry> start(const std::string &owner) {
        return std::make_unique<entry>(target, store, clock, ids, owner);
    }
};

} // namespace

// Guards against a repeat at another entry, or after a restart, that books twice.
TEST_CASE("promise 11: a repeat at another or a restarted entry does not run again") {
    service naive;
    naive_entry first{naive};
    naive_entry second{naive};
    first.book("k");
    second.book("k");
    naive_entry{naive}.book("k");
    CHECK(naive.most() == 3);

    fixture it;
    CHECK(it.start("a")->call("k") == reply::done);
    CHECK(it.start("b")->call("k") == reply::done);
    CHECK(it.start("a2")->call("k") == reply::done);
    CHECK(it.target.most() == 1);
}

// Guards against an entry that dies between the run and the storing of its outcome.
TEST_CASE("promise 11: an entry killed after the run leaves an unknown outcome, not a second run") {
    service naive;
    store::memory_store naive_store;
    naive_store.set_faults_once({.lose_requests = true});
    naive_store_entry{naive, naive_store}.book("k");
    naive_store_entry{naive, naive_store}.book("k");
    CHECK(naive.most() == 2);

    fixture it;
    auto dying = it.start("dead-a");
    dying->dies_after_run = true;
    dying->call("k");
    CHECK(it.start("b")->call("k") == reply::other);
    CHECK(it.target.most() == 1);
}

// Guards against a lost store answer that is taken for a failed claim.
TEST_CASE("promise 11: a lost store answer neither runs twice nor lies about not run") {
    service naive;
    store::memory_store naive_store;
    naive_store.set_faults_once({.lose_answers = true});
    const auto said = naive_store_entry{naive, naive_store}.book("k");
    CHECK((said == reply::not_run && naive.runs["k"] == 1));

    for (const bool applied : {true, false}) {
        fixture it;
        it.store.set_faults_once({.lose_answers = applied, .lose_requests = !applied});
        CHECK(it.start("a")->call("k") == reply::done);
        CHECK(it.start("b")->call("k") == reply::done);
        CHECK(it.target.most() == 1);
    }
}

// Guards against running without a claim while the store is down.
TEST_CASE("promise 11: with the store down the request is refused as not run and did not run") {
    service naive;
    store::memory_store naive_store;
    naive_store.set_faults({.outage = true});
    CHECK(naive_store_entry{naive, naive_store}.book("k") == reply::not_run);
    CHECK(naive.runs["k"] == 1);

    fixture it;
    auto a = it.start("a");
    it.store.set_faults({.outage = true});
    CHECK(a->call("k") == reply::not_run);
    CHECK(it.target.runs.empty());
    it.store.set_faults({});
    CHECK(a->call("k") == reply::done);
    CHECK(it.target.most() == 1);
}

// Guards against two entries that claim one key between each other's read and write.
TEST_CASE("promise 11: two entries claiming at the same moment run once") {
    service naive;
    store::memory_store naive_store;
    naive_store.set_write_hook([&](std::string_view) {
        naive_store.set_write_hook({});
        naive_store_entry{naive, naive_store}.book("k");
    });
    naive_store_entry{naive, naive_store}.book("k");
    CHECK(naive.most() == 2);

    fixture it;
    auto a = it.start("a");
    auto b = it.start("b");
    it.store.set_write_hook([&](std::string_view) {
        it.store.set_write_hook({});
        b->call("k");
    });
    a->call("k");
    CHECK(it.target.most() == 1);
}
