#include "gateway/placement.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

#include "gateway/fixture.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using gateway::engine_stage;
using gateway::placement_rejection;
using gateway::prompt_part;

namespace {

struct fixture {
    base::manual_clock clock;
    gateway::backend_table table{clock};
    gateway::placement subject{clock, table, [] { return 0.0; }};

    /** `decode` and `prefill` engines of 12 slots. */
    void engines(int decode, int prefill) {
        std::vector<gateway::backend_server> all;
        all.reserve(static_cast<std::size_t>(decode) + static_cast<std::size_t>(prefill));
        for (int n = 0; n < decode; ++n) {
            all.push_back(test::server("decode-" + std::to_string(n), "llm", engine_stage::decode, 12));
        }
        for (int n = 0; n < prefill; ++n) {
            all.push_back(test::server("prefill-" + std::to_string(n), "llm", engine_stage::prefill, 12));
        }
        table.update(all);
    }

    gateway::placement_result choose(const std::vector<prompt_part> &prompt, bool may_split = true) {
        std::uint32_t tokens = 0;
        for (const auto &it : prompt) {
            tokens += it.tokens;
        }
        return subject.choose({.service = "llm",
                               .prompt = prompt,
                               .prompt_tokens = tokens,
                               .failure_domain = "east",
                               .excluded = {},
                               .may_split = may_split});
    }

    /** @param pending Pending prefill tokens of each request. */
    void load(const std::string &id, int n, double pending = 0) {
        for (int it = 0; it < n; ++it) {
            table.started(id, pending);
        }
    }
};

std::uint64_t rank(std::uint64_t key, std::string_view id) {
    return gateway::rendezvous_rank(key, gateway::engine_hash(id));
}

std::vector<prompt_part> draft(std::uint64_t shared, std::uint64_t own) {
    return {{shared, 13'000}, {own, 3'700}};
}

} // namespace

// 180 shared prefixes. Guards against prefilling every prefix at every engine because gateways choose differently.
TEST_CASE("gateways choose the same home for a prefix without communication") {
    fixture a;
    fixture b;
    a.engines(9, 0);
    b.engines(9, 0);
    std::set<std::string> homes;
    for (std::uint64_t shared = 1; shared <= 180; ++shared) {
        const auto first = a.choose(draft(shared, 1000 + shared));
        const auto second = b.choose(draft(shared, 2000 + shared));
        REQUIRE(first.plan.run != nullptr);
        CHECK(first.plan.run->facts.id == second.plan.run->facts.id);
        homes.insert(first.plan.run->facts.id);
    }
    CHECK(homes.size() == 9);
}

// A single hot prefix. Guards against queueing at its home while other engines are idle.
TEST_CASE("when the home is busy, another engine fetches the prefix from it") {
    fixture it;
    it.engines(4, 0);
    const auto home = it.choose(draft(1, 2)).plan.run->facts.id;
    it.load(home, 20);
    const auto next = it.choose(draft(1, 3));
    REQUIRE(next.plan.run != nullptr);
    CHECK(next.plan.run->facts.id != home);
    REQUIRE(next.plan.fetch_from != nullptr);
    CHECK(next.plan.fetch_from->facts.id == home);
}

// Long prompts mixed with short ones. Guards against long prefills that delay other generations.
TEST_CASE("long prompts are split, short ones run at a decode engine with free slots") {
    fixture it;
    it.engines(3, 2);
    const auto long_one = it.choose(draft(1, 2));
    REQUIRE(long_one.plan.prefill != nullptr);
    CHECK(long_one.plan.prefill->facts.stage == engine_stage::prefill);
    CHECK(long_one.plan.run->facts.stage == engine_stage::decode);
    const auto short_one = it.choose({{5, 90}, {6, 290}});
    CHECK(short_one.plan.prefill == nullptr);
    CHECK(short_one.plan.run->facts.stage == engine_stage::decode);
    CHECK(it.choose(draft(1, 2), false).plan.prefill == nullptr);
}

// Overload with long prompts. Guards against all of them queueing at the prefill engines.
TEST_CASE("when the prefill engines are busy, decode engines prefill as well") {
    fixture it;
    it.engines(6, 1);
    it.load("prefill-0", 40, 3'700);
    CHECK(it.choose(draft(1, 2)).plan.prefill == nullptr);
}

// A few prompts whose shared prefix is not cached. Guards against measuring a queue by its length: three of them occupy
// a prefill engine for longer than ten usual ones.
TEST_CASE("the queue at a prefill engine is measured in tokens") {
    fixture it;
    it.engines(2, 2);
    it.load("prefill-0", 3, 17'000);
    it.load("prefill-1", 10, 1'000);
    const auto plan = it.choose(draft(1, 2)).plan;
    REQUIRE(plan.prefill != nullptr);
    CHECK(plan.prefill->facts.id == "prefill-1");
}

// Guards against placing a generation at a prefill engine, which cannot run it.
TEST_CASE("prefill engines do not run generations") {
    fixture it;
    it.engines(0, 3);
    CHECK(it.choose(draft(1, 2)).rejection == placement_rejection::full);
    CHECK(it.choose({{5, 90}, {6, 290}}).rejection == placement_rejection::full);
}

// More requests than slots. Guards against queues so long that every deadline is missed.
TEST_CASE("a service with all slots and queue places taken is full, with an estimate of when a place is free") {
    fixture it;
    it.table.update({test::server("desk-1", "desk", engine_stage::none, 6)});
    it.load("desk-1", 12);
    const auto full = it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east"});
    CHECK(full.rejection == placement_rejection::full);
    CHECK(full.free_in > 0ms);
    CHECK(full.free_in < 1s);
}

// Guards against uneven load: the longest queue must be shorter than with random choice.
TEST_CASE("load is balanced by outstanding requests, not at random") {
    fixture it;
    it.table.update({test::server("desk-1", "desk"), test::server("desk-2", "desk"), test::server("desk-3", "desk")});
    std::mt19937 random{7};
    std::map<std::string, int> baseline;
    std::map<std::string, int> chosen;
    for (int n = 0; n < 18; ++n) {
        ++baseline["desk-" + std::to_string(random() % 3 + 1)];
        const auto place = it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east"});
        REQUIRE(place.plan.run != nullptr);
        ++chosen[place.plan.run->facts.id];
        it.table.started(place.plan.run->facts.id, 0);
    }
    const auto longest = [](const auto &counts) {
        int out = 0;
        for (const auto &[id, n] : counts) {
            out = std::max(out, n);
        }
        return out;
    };
    CHECK(longest(chosen) == 6);
    CHECK(longest(chosen) < longest(baseline));
}

// Guards against trying the same backend server twice, and against retrying without end.
TEST_CASE("tried backend servers are excluded") {
    fixture it;
    it.table.update({test::server("desk-1", "desk"), test::server("desk-2", "desk")});
    const std::vector<std::string> one{"desk-1"};
    const std::vector<std::string> both{"desk-1", "desk-2"};
    const auto place = it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east", .excluded = one});
    CHECK(place.plan.run->facts.id == "desk-2");
    const auto none = it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east", .excluded = both});
    CHECK(none.rejection == placement_rejection::excluded);
    CHECK(it.subject.choose({.service = "other", .prompt = {}, .failure_domain = "east"}).rejection ==
          placement_rejection::no_backend);
}

// Estimates for one kind of placement are far off, for example after prefill engines lost their caches. Guards against
// sending every long prompt there as long as this lasts.
TEST_CASE("estimates are corrected by measured times") {
    fixture it;
    it.engines(3, 2);
    REQUIRE(it.choose(draft(1, 2)).plan.prefill != nullptr);
    // Nine times as long as expected.
    const gateway::call_estimate prefill{gateway::call_kind::prefill, 17'000, 0};
    const gateway::call_estimate direct{gateway::call_kind::direct, 17'000, 0};
    for (int n = 0; n < 60; ++n) {
        (void)it.subject.on_call_time("llm", "prefill-0", prefill, 1500ms);
    }
    CHECK(it.choose(draft(1, 2)).plan.prefill == nullptr);
    for (int n = 0; n < 200; ++n) {
        (void)it.subject.on_call_time("llm", "prefill-0", prefill, 150ms);
        (void)it.subject.on_call_time("llm", "decode-0", direct, 4300ms);
    }
    CHECK(it.choose(draft(1, 2)).plan.prefill != nullptr);
}

// Request sizes with a long tail. Guards against refusing mainly the largest requests under load: admission uses the
// estimate for a request of mean size, so that requests of all sizes are refused equally.
TEST_CASE("the estimate used for admission does not depend on the request's size") {
    fixture it;
    it.engines(1, 0);
    for (int n = 0; n < 200; ++n) {
        (void)it.choose(draft(1, 2));
        // By now the prefix is cached at its home.
        it.clock.advance(1s);
    }
    const auto mean = it.choose(draft(1, 2)).plan;
    const auto large = it.choose({{1, 13'000}, {9, 30'000}}).plan;
    CHECK(large.expected > 5 * mean.expected);
    CHECK(large.typical < 2 * mean.typical);
}

// Cold start: with empty caches, every request prefills its whole shared prefix. Guards against placing several of them
// at one engine because only their unshared tokens are counted, which gives the busiest engine twice the work.
TEST_CASE("prefixes that are not cached yet count as prefill work of the engine") {
    fixture it;
    it.engines(9, 0);
    std::map<std::string, int> drafts;
    std::map<std::string, int> baseline;
    for (std::uint64_t n = 1; n <= 18; ++n) {
        const auto plan = it.choose(draft(n, 1000 + n)).plan;
        CHECK(plan.prefill_tokens > 16'000);
        it.table.started(plan.run->facts.id, plan.prefill_tokens);
        ++drafts[plan.run->facts.id];
        // When every engine looks idle, the rendezvous rank alone decides.
        std::string home;
        for (int k = 0; k < 9; ++k) {
            const auto id = "decode-" + std::to_string(k);
            const auto key = gateway::shared_prefix_key(draft(n, 1000 + n), 1000);
            if (home.empty() || rank(key, id) > rank(key, home)) {
                home = id;
            }
        }
        ++baseline[home];
    }
    const auto most = [](const auto &of) {
        return std::ranges::max_element(of, {}, [](const auto &each) { return each.second; })->second;
    };
    CHECK(most(drafts) <= 3);
    CHECK(most(baseline) > most(drafts));
    // A prefix that this gateway has sent to the engine is known to be cached there.
    const auto again = draft(1, 3000);
    it.subject.on_prefill_done(it.choose(again).plan.run->facts.id, again);
    CHECK(it.choose(again).plan.prefill_tokens < 4'000);
}

// Medium prompts without a long shared prefix, at engines with many slots. Guards against prefilling them between the
// tokens of other requests while prefill engines are idle.
TEST_CASE("prompts without a home are split, too, when the decode engines are busy") {
    fixture it;
    it.engines(4, 2);
    const std::vector<prompt_part> classify{{7, 500}, {8, 2'500}};
    for (int n = 0; n < 4; ++n) {
        it.load("decode-" + std::to_string(n), 6, 1'800);
    }
    const auto plan = it.choose(classify).plan;
    REQUIRE(plan.prefill != nullptr);
    CHECK(plan.run->facts.stage == engine_stage::decode);
}

// Two of three servers run at a fifth of their speed. Guards against queries that wait there as long as drafts.
TEST_CASE("slow backend servers are avoided, and used again after a while") {
    fixture it;
    it.table.update({test::server("desk-1", "desk"), test::server("desk-2", "desk"), test::server("desk-3", "desk")});
    const auto choose = [&it] {
        return it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east", .objective = 300ms})
            .plan.run->facts.id;
    };
    for (int n = 0; n < 20; ++n) {
        it.table.timed("desk-1", 5);
        it.table.timed("desk-3", 5);
    }
    CHECK(it.table.slowness(*it.table.find("desk-1")) > 3);
    for (int n = 0; n < 3; ++n) {
        CHECK(choose() == "desk-2");
        it.table.started("desk-2", 0);
    }
    it.clock.advance(30s);
    CHECK(it.table.slowness(*it.table.find("desk-1")) == 1);
    CHECK(choose() != "desk-2");
}

// Thousands of engines. Guards against work for each request that grows with the engines beyond looking at them once.
TEST_CASE("a prefix has the same home however many engines are compared") {
    fixture it;
    it.engines(300, 100);
    const auto home = it.choose(draft(1, 2), false).plan.run->facts.id;
    std::string expected;
    for (int n = 0; n < 300; ++n) {
        const auto id = "decode-" + std::to_string(n);
        const auto key = gateway::shared_prefix_key(draft(1, 2), 1000);
        expected = expected.empty() || rank(key, id) > rank(key, expected) ? id : expected;
    }
    CHECK(home == expected);
}

// Large prompts behind a queue. Guards against refusing the largest prompts of a route several times as often as the
// others, because small ones can use engines that large ones cannot.
TEST_CASE("large prompts may have a longer queue before them than small ones") {
    fixture it;
    it.engines(0, 0);
    it.table.update({test::server("decode-0", "llm", engine_stage::decode, 12)});
    for (int n = 0; n < 200; ++n) {
        (void)it.choose({{1, 600}, {2, 1'500}});
    }
    it.load("decode-0", 4, 6'000);
    // Not new, so that the large one does not move the mean.
    const auto choose = [&it](const std::vector<prompt_part> &prompt, std::uint32_t tokens) {
        return it.subject
            .choose({.service = "llm",
                     .prompt = prompt,
                     .prompt_tokens = tokens,
                     .failure_domain = "east",
                     .is_new = false})
            .plan;
    };
    const auto small = choose({{1, 600}, {3, 900}}, 1'500);
    const auto large = choose({{1, 600}, {4, 40'000}}, 40'600);
    CHECK(large.expected > small.expected + 500ms);
    CHECK(large.typical < 0.85 * small.typical);
    CHECK(large.typical > 0.75 * small.typical);
}

// Seventy gateways: an engine's load is seldom known to one of them. Guards against taking queues that it cannot see
// for slow engines, which made gateways refuse most queries although they were answered in time.
TEST_CASE("times at engines of unknown load do not change the estimates") {
    fixture it;
    it.engines(3, 0);
    const auto before = it.choose(draft(1, 2), false).plan.expected;
    const auto record = [&it](bool known) {
        for (int n = 0; n < 100; ++n) {
            (void)it.subject.on_call_time("llm", "decode-0", {gateway::call_kind::direct, 4'000, 0, known}, 900ms);
        }
    };
    record(false);
    CHECK(it.choose(draft(1, 2), false).plan.expected == before);
    record(true);
    CHECK(it.choose(draft(1, 2), false).plan.expected > before);
}

namespace {

/** Engines that keep the most recently used prefixes, and read a prefix that they lack. */
class prefix_memory {
public:
    explicit prefix_memory(std::size_t capacity) : capacity_{capacity} {}

    /** @return True when the engine had to read the prefix. */
    bool use(const std::string &engine, std::uint64_t prefix) {
        auto &kept = kept_[engine];
        const auto found = std::ranges::find(kept, prefix);
        const bool missing = found == kept.end();
        if (!missing) {
            kept.erase(found);
        }
        kept.push_back(prefix);
        if (kept.size() > capacity_) {
            kept.erase(kept.begin());
        }
        return missing;
    }

private:
    const std::size_t capacity_;
    std::map<std::string, std::vector<std::uint64_t>> kept_;
};

/** @return Prefixes read, in 4,000 requests for 180 prefixes at nine engines of uneven and changing load. */
int prefixes_read(gateway::placement_settings settings) {
    constexpr int engines = 9;
    base::manual_clock clock;
    gateway::backend_table table{clock};
    std::mt19937 random{11};
    gateway::placement subject{clock, table, [] { return 0.0; }, settings};
    std::vector<gateway::backend_server> all;
    all.reserve(engines);
    for (int n = 0; n < engines; ++n) {
        all.push_back(test::server("decode-" + std::to_string(n), "llm", engine_stage::decode, 12));
    }
    table.update(all);
    prefix_memory memory{30};
    int read = 0;
    for (std::uint64_t n = 0; n < 4000; ++n) {
        clock.advance(20ms);
        std::vector<std::string> busy;
        for (const auto &it : all) {
            const auto running = std::uniform_int_distribution{0, 6}(random);
            for (int k = 0; k < running; ++k) {
                table.started(it.id, 1000);
                busy.push_back(it.id);
            }
        }
        const auto prompt = draft(std::uniform_int_distribution<std::uint64_t>{1, 180}(random), 1000 + n);
        const auto placed = subject.choose({.service = "llm",
                                            .prompt = prompt,
                                            .prompt_tokens = 16'700,
                                            .failure_domain = "east",
                                            .objective = 300ms,
                                            .may_split = false});
        REQUIRE(placed.plan.run != nullptr);
        const auto &id = placed.plan.run->facts.id;
        read += memory.use(id, prompt.front().id) ? 1 : 0;
        subject.on_prefill_done(id, prompt);
        for (const auto &it : busy) {
            table.prefill_done(it, 1000);
            table.ended(it, gateway::attempt_outcome::answered);
        }
    }
    return read;
}

} // namespace

// More prefixes than one engine can keep, and engines of uneven load. Guards against spreading each prefix over all
// engines for a small gain in time: every further copy displaces another prefix, which must be read again.
TEST_CASE("under uneven load, prefixes stay at few engines") {
    gateway::placement_settings spreading;
    spreading.spill_cost = 0.01;
    const int naive = prefixes_read(spreading);
    const int read = prefixes_read({});
    CAPTURE(naive);
    CHECK(read < naive / 2);
}

namespace {

/** @return Requests at the server with most of them, when 31 gateways choose among ten with the same reports. */
int longest_of_same_reports(double uncertainty_share) {
    constexpr int gateways = 31;
    std::mt19937 random{5};
    std::map<std::string, int> chosen;
    constexpr int servers = 10;
    std::vector<gateway::backend_server> all;
    all.reserve(servers);
    for (int n = 0; n < servers; ++n) {
        all.push_back(test::server("desk-" + std::to_string(n), "desk"));
    }
    for (int n = 0; n < gateways; ++n) {
        base::manual_clock clock;
        gateway::backend_table table{clock};
        gateway::placement_settings settings;
        settings.uncertainty_share = uncertainty_share;
        gateway::placement subject{clock, table, [&random] { return std::uniform_real_distribution{}(random); },
                                   settings};
        table.update(all);
        table.set_gateways(gateways);
        for (const auto &it : all) {
            table.started(it.id, 0);
        }
        for (std::size_t it = 0; it < all.size(); ++it) {
            table.ended(all[it].id, gateway::attempt_outcome::answered);
            table.reported(all[it].id, {.running = it == 0 ? 0U : 2U, .waiting = 0, .slots = 6, .work_factor = 1});
        }
        clock.advance(100ms);
        ++chosen[subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east", .objective = 300ms})
                     .plan.run->facts.id];
    }
    return std::ranges::max_element(chosen, {}, [](const auto &it) { return it.second; })->second;
}

} // namespace

// Thirty-one gateways have the same reports, 100 ms old, of which one names the least load. Guards against all of them
// sending there before any hears of it.
TEST_CASE("gateways with the same reports do not all choose the same server") {
    const int before = longest_of_same_reports(0);
    const int after = longest_of_same_reports(1);
    CAPTURE(before);
    CAPTURE(after);
    CHECK(before == 31);
    CHECK(after < 15);
}

// Hosts of three generations, at 0.6, 1 and 1.6 of the usual speed. Guards against as many prefixes at slow engines as
// at fast ones, and against prefixes that move between engines whose weight has not changed.
TEST_CASE("an engine is the home of prefixes in proportion to its steady speed") {
    fixture it;
    it.engines(12, 0);
    const auto homes = [&it] {
        std::vector<std::string> out;
        for (std::uint64_t shared = 1; shared <= 1200; ++shared) {
            out.push_back(it.choose(draft(shared, 10'000 + shared), false).plan.run->facts.id);
        }
        return out;
    };
    const auto before = homes();
    gateway::server_speeds told;
    const std::set<std::string> slow{"decode-0", "decode-1", "decode-2"};
    const std::set<std::string> fast{"decode-3", "decode-4", "decode-5"};
    for (int n = 0; n < 6; ++n) {
        told.all["decode-" + std::to_string(n) + "@0"] = {n < 3 ? 0.5 : -0.47, 100};
    }
    it.table.on_server_speeds(told);
    const auto after = homes();
    const auto held = [](const auto &all, const std::set<std::string> &by) {
        return std::ranges::count_if(all, [&by](const auto &id) { return by.contains(id); });
    };
    // 0.6 and 1.6 of 3 * (0.6 + 1.6) + 6 weights.
    CHECK(held(after, slow) == doctest::Approx(1200 * 1.8 / 12.6).epsilon(0.15));
    CHECK(held(after, fast) == doctest::Approx(1200 * 4.8 / 12.6).epsilon(0.15));
    for (std::size_t n = 0; n < before.size(); ++n) {
        CHECK((before[n] == after[n] || slow.contains(before[n]) || fast.contains(after[n])));
    }
    // Nobody tells of a difference any more, and gateways that start now know of none.
    it.table.on_server_speeds({});
    CHECK(homes() == before);
}

// Demand moves between failure domains by the hour. Guards against queueing near the gateway while servers elsewhere
// are idle, and against leaving the failure domain for a gain that is smaller than the way.
TEST_CASE("a near server with a queue is compared by time with a far one without") {
    fixture it;
    auto near = test::server("near", "desk");
    auto far = test::server("far", "desk");
    far.failure_domain = "west";
    it.table.update({near, far});
    const auto choose = [&it] {
        return it.subject.choose({.service = "desk", .prompt = {}, .failure_domain = "east", .objective = 300ms})
            .plan.run->facts.id;
    };
    it.table.reported("far", {.running = 0, .waiting = 0, .slots = 6});
    it.table.reported("near", {.running = 2, .waiting = 0, .slots = 6});
    CHECK(choose() == "near");
    it.table.reported("near", {.running = 6, .waiting = 4, .slots = 6});
    CHECK(choose() == "far");
    it.table.reported("far", {.running = 6, .waiting = 4, .slots = 6});
    CHECK(choose() == "near");
}

// A booking service on hosts of several generations. Guards against as many requests at the slow server as at the fast
// one, and against taking its queue for its speed.
TEST_CASE("the speed of plain servers that state their time of work is measured") {
    fixture it;
    it.table.update({test::server("slow", "desk"), test::server("fast", "desk")});
    const auto answer = [&it](const std::string &id, base::duration held, std::uint32_t waiting) {
        it.clock.advance(50ms);
        it.table.started(id, 0);
        it.table.reported(id, {.running = 1, .waiting = waiting, .slots = 6, .work_factor = 1.0});
        it.table.ended(id, gateway::attempt_outcome::answered);
        if (const auto ratio = it.subject.on_slot_time("desk", id, held)) {
            it.table.timed(id, *ratio);
        }
        it.table.settle_speeds();
    };
    for (int n = 0; n < 40; ++n) {
        answer("slow", 50ms, 0);
        answer("fast", 20ms, 0);
    }
    const double slow = it.table.slowness(*it.table.find("slow"));
    const double fast = it.table.slowness(*it.table.find("fast"));
    CHECK(slow / fast == doctest::Approx(2.5).epsilon(0.25));
    CHECK(fast < 0.8);
    for (int n = 0; n < 40; ++n) {
        answer("fast", 200ms, 3);
    }
    CHECK(it.table.slowness(*it.table.find("fast")) < 0.8);
}
