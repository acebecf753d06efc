#include "gateway/crash_quarantine.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "gateway/crash_report_task.hpp"
#include "store/memory_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

using gateway::request_traits;
using gateway::trait_kind;

constexpr std::uint64_t crashing = 0xbad;
constexpr std::uint64_t common = 0xc0;

gateway::request_trait part(std::uint64_t id) {
    return {trait_kind::prompt_part, id};
}

struct fixture {
    base::manual_clock clock;
    gateway::crash_quarantine subject{clock};
    int next{0};

    /** @return Traits of a new request whose prompt has these shared parts. */
    request_traits of(const std::vector<std::uint64_t> &shared) {
        return of(shared, 0x10000U + static_cast<std::uint64_t>(next++));
    }

    /** @return The same of the request with this digest. */
    static request_traits of(const std::vector<std::uint64_t> &shared, std::uint64_t digest) {
        request_traits out;
        for (const auto id : shared) {
            out.push_back({trait_kind::prompt_part, id});
        }
        out.push_back({trait_kind::whole_request, digest});
        return out;
    }

    /** An engine ends; the prompts that ran there are cut off. */
    void engine_ends(const std::vector<std::vector<std::uint64_t>> &running, base::duration after = 600ms) {
        clock.advance(after);
        const auto id = "engine-" + std::to_string(next++) + "@1";
        for (const auto &it : running) {
            subject.on_broken(id, "10.0.0.1:80", of(it));
        }
        subject.tick();
    }

    /** A server ends while it works on one request and on others, each with its own parts of prompts. */
    void server_ends_on(const request_traits &one, base::duration after, int others = 0) {
        clock.advance(after);
        const auto id = "server-" + std::to_string(next++) + "@1";
        subject.on_broken(id, "10.0.0.1:80", one);
        for (int n = 0; n < others; ++n) {
            subject.on_broken(id, "10.0.0.1:80", of({common}));
        }
        subject.tick();
    }

    void answer_request(const request_traits &traits) {
        const auto started = clock.now();
        clock.advance(10ms);
        subject.on_progress("server-sound@1", traits, started);
        subject.tick();
    }

    void answer(const std::vector<std::uint64_t> &shared) {
        const auto started = clock.now();
        clock.advance(50ms);
        subject.on_progress("engine-sound@1", of(shared), started);
        subject.tick();
    }

    void settle() {
        clock.advance(400ms);
        subject.tick();
    }

    [[nodiscard]] bool held(const std::vector<std::uint64_t> &shared) { return subject.held(of(shared)).has_value(); }
};

} // namespace

// Pattern: one part of prompts ends each engine that begins to answer it. Guards against sending such requests on, and
// against refusing the others that were cut off with them.
TEST_CASE("a part that was at three ends and was never answered is held, the parts cut off with it are not") {
    fixture it;
    for (std::uint64_t n = 0; n < 3; ++n) {
        CHECK_FALSE(it.held({common, crashing}));
        it.engine_ends({{common, crashing}, {common, 10 + n}, {20 + n, 30 + n}});
        it.answer({common});
    }
    it.settle();
    CHECK(it.held({common, crashing}));
    CHECK(it.held({crashing, 55}));
    CHECK_FALSE(it.held({common, 10}));
    CHECK_FALSE(it.held({22, 32}));
    CHECK(it.subject.held_count(trait_kind::prompt_part) == 1);
}

// Guards against a shared part whose requests are only cut off because the culprit is popular there.
TEST_CASE("a part answered before is not held while another one explains the ends") {
    fixture it;
    it.answer({common});
    for (int n = 0; n < 8; ++n) {
        it.engine_ends({{common, crashing}, {common, 7}});
    }
    it.settle();
    CHECK(it.held({crashing}));
    CHECK_FALSE(it.held({common}));
}

// Guards against taking the loss of a failure domain, or of all engines at once, for the fault of what ran there.
TEST_CASE("engines that end at the same moment count as one end") {
    fixture it;
    for (int outage = 0; outage < 2; ++outage) {
        for (int n = 0; n < 12; ++n) {
            it.engine_ends({{common, 7}, {common, 8}}, n == 0 ? 5s : 1ms);
        }
    }
    it.settle();
    CHECK_FALSE(it.held({common, 7}));
}

// Guards against holding the work of engines that go down and up by turns.
TEST_CASE("a part whose answers go on between ends is never held") {
    fixture it;
    for (int n = 0; n < 20; ++n) {
        it.engine_ends({{common, 7}});
        it.answer({common, 7});
    }
    it.settle();
    CHECK_FALSE(it.held({common, 7}));
}

// Guards against counting answers that were cut or garbled by engines that live on.
TEST_CASE("an engine that answers a later attempt has not ended") {
    fixture it;
    for (int n = 0; n < 6; ++n) {
        const auto id = "engine-" + std::to_string(n) + "@1";
        it.clock.advance(600ms);
        it.subject.on_broken(id, "10.0.0.1:80", it.of({crashing}));
        it.clock.advance(10ms);
        const auto started = it.clock.now();
        it.clock.advance(10ms);
        it.subject.on_progress(id, it.of({common}), started);
        it.subject.tick();
    }
    it.settle();
    CHECK_FALSE(it.held({crashing}));
}

// Guards against engines that end so quickly one after the other that they seem to have one cause.
TEST_CASE("ends without a pause between them count again after a while") {
    fixture it;
    for (int n = 0; n < 15; ++n) {
        it.engine_ends({{common, crashing}}, 100ms);
        it.answer({common});
    }
    it.settle();
    CHECK(it.held({crashing}));
    CHECK_FALSE(it.held({common}));
}

// Guards against a second part that hides behind the first.
TEST_CASE("two parts that crash engines are both held") {
    fixture it;
    for (int n = 0; n < 4; ++n) {
        it.engine_ends({{common, crashing}});
        it.engine_ends({{common, 0xbad2}});
        it.answer({common});
    }
    it.settle();
    CHECK(it.held({crashing}));
    CHECK(it.held({0xbad2}));
    CHECK_FALSE(it.held({common}));
}

// Guards against a repeat that ends one more engine while the part is not certain yet.
TEST_CASE("requests with a part that was at two ends and never answered are not repeated") {
    fixture it;
    it.answer({common});
    it.engine_ends({{common, crashing}});
    CHECK_FALSE(it.subject.suspected(it.of({common, crashing})));
    it.engine_ends({{common, crashing}});
    CHECK(it.subject.suspected(it.of({common, crashing})));
    CHECK_FALSE(it.subject.suspected(it.of({common, 7})));
}

// Guards against a gateway that must lose engines of its own before it believes, and against one that starts later.
TEST_CASE("gateways share their observations and holds") {
    fixture one;
    fixture other;
    other.next = 100; // Names other engines.
    one.engine_ends({{crashing}});
    other.engine_ends({{crashing}});
    one.engine_ends({{crashing}});
    one.clock.advance(600ms);
    one.subject.on_report("other", other.subject.take_report().value());
    one.settle();
    CHECK(one.held({crashing}));
    const auto report = one.subject.take_report().value();
    CHECK_FALSE(one.subject.take_report());
    fixture fresh;
    fresh.subject.on_report("one", report);
    CHECK(fresh.held({crashing}));
    // An answer, wherever, ends the hold everywhere; the same report read again does not renew it.
    other.subject.on_report("one", report);
    other.answer({crashing});
    CHECK_FALSE(other.held({crashing}));
    fresh.subject.on_report("other", other.subject.take_report().value());
    CHECK_FALSE(fresh.held({crashing}));
    fresh.subject.on_report("one", report);
    CHECK_FALSE(fresh.held({crashing}));
}

// After a restart no gateway knows which of two parts is sound when both were at every end. Guards against refusing the
// sound one for minutes, and against trials that cost more than one server (review, further faults, second row).
TEST_CASE("parts that are held together are told apart by a request that has only one of them") {
    const auto hold_both = [](fixture &it) {
        for (int n = 0; n < 3; ++n) {
            it.engine_ends({{common, crashing}});
        }
        it.settle();
        REQUIRE(it.held({common}));
        REQUIRE(it.held({crashing}));
    };
    fixture it;
    hold_both(it);
    // While the other gateways are not known, any of them may be the one that makes the trials.
    CHECK_FALSE(it.subject.begin_trial(it.of({common})));
    it.subject.set_gateways({.own = "one", .others = {}, .listed = true});
    CHECK_FALSE(it.subject.begin_trial(it.of({common, crashing})));
    CHECK_FALSE(it.subject.begin_trial(it.of({7})));
    const auto sound = it.of({common, 7});
    CHECK(it.subject.begin_trial(sound));
    CHECK_FALSE(it.subject.begin_trial(it.of({common, 8})));
    it.answer_request(sound);
    CHECK_FALSE(it.held({common}));
    CHECK(it.held({crashing}));
    it.clock.advance(1min);
    CHECK_FALSE(it.subject.begin_trial(it.of({crashing})));

    fixture worse;
    hold_both(worse);
    worse.subject.set_gateways({.own = "one", .others = {}, .listed = true});
    const auto bad = worse.of({crashing});
    CHECK(worse.subject.begin_trial(bad));
    worse.subject.on_broken("engine-9@1", "10.0.0.1:80", bad);
    worse.subject.on_trial_broken(bad);
    worse.settle();
    worse.clock.advance(1min);
    CHECK_FALSE(worse.subject.begin_trial(worse.of({crashing})));
    CHECK(worse.held({crashing}));
    // The other one can still be cleared.
    CHECK(worse.subject.begin_trial(worse.of({common})));
    worse.answer({common});
    CHECK_FALSE(worse.held({common}));
}

// Guards against a trial at each gateway, and against one that the others do not learn from.
TEST_CASE("one gateway makes the trials of parts held together, and all learn its result") {
    fixture one;
    fixture other;
    for (int n = 0; n < 3; ++n) {
        one.engine_ends({{common, crashing}});
    }
    one.settle();
    other.subject.on_report("one", one.subject.take_report().value());
    CHECK(other.held({common}));
    one.subject.set_gateways({.own = "one", .others = {"other"}, .listed = true});
    other.subject.set_gateways({.own = "other", .others = {"one"}, .listed = true});
    const bool by_one = one.subject.begin_trial(one.of({common}));
    const bool by_other = other.subject.begin_trial(other.of({common}));
    CHECK(by_one != by_other);
    auto &trying = by_one ? one : other;
    auto &reading = by_one ? other : one;
    trying.answer({common});
    reading.subject.on_report(by_one ? "one" : "other", trying.subject.take_report().value());
    CHECK_FALSE(reading.held({common}));
    CHECK(reading.held({crashing}));
}

// Guards against a trial of parts that were held one after the other, which no request tells apart.
TEST_CASE("parts that are held for different ends have no trials") {
    fixture it;
    it.subject.set_gateways({.own = "one", .others = {}, .listed = true});
    for (const std::uint64_t id : {crashing, crashing + 1}) {
        for (int n = 0; n < 3; ++n) {
            it.engine_ends({{id}});
        }
        it.settle();
    }
    fixture other;
    other.subject.set_gateways({.own = "one", .others = {}, .listed = true});
    other.subject.on_report("one", it.subject.take_report().value());
    for (auto *subject : {&it, &other}) {
        CHECK(subject->held({crashing}));
        CHECK(subject->held({crashing + 1}));
        CHECK_FALSE(subject->subject.begin_trial(subject->of({crashing})));
        CHECK_FALSE(subject->subject.begin_trial(subject->of({crashing + 1})));
    }
}

// Guards against a hold without end, and against losing several engines at each trial.
TEST_CASE("a hold ends by time, and one more end renews it for longer") {
    fixture it;
    for (int n = 0; n < 3; ++n) {
        it.engine_ends({{crashing}});
    }
    it.settle();
    CHECK(it.subject.held(it.of({crashing})).value().left <= 10min);
    it.clock.advance(11min);
    it.subject.tick();
    CHECK_FALSE(it.held({crashing}));
    it.engine_ends({{crashing}});
    it.settle();
    CHECK(it.subject.held(it.of({crashing})).value().left > 19min);
}

// Guards against a request that comes again under another id and ends one server after the other within moments.
TEST_CASE("a request that was at three ends is held, even if they follow each other at once") {
    fixture it;
    const auto bad = fixture::of({}, 0xbad);
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(it.subject.held(bad));
        it.server_ends_on(bad, 90ms, 5);
    }
    it.settle();
    REQUIRE(it.subject.held(bad));
    CHECK(it.subject.held(bad)->kind == trait_kind::whole_request);
    CHECK(it.subject.held_count(trait_kind::whole_request) == 1);
    CHECK(it.subject.held_count(trait_kind::prompt_part) == 0);
    CHECK_FALSE(it.subject.held(fixture::of({}, 0xbad + 1)));
}

// Guards against holding a part of prompts, and all other requests with it, for the fault of one request.
TEST_CASE("the parts of a request that comes again are not held with it") {
    fixture it;
    const auto bad = fixture::of({common}, 0xbad);
    for (int n = 0; n < 12; ++n) {
        it.server_ends_on(bad, 600ms);
    }
    it.settle();
    CHECK(it.subject.held(bad));
    CHECK_FALSE(it.held({common}));
}

// Guards against taking each repeated request for the cause when it is a part that they share.
TEST_CASE("a part is held although each request with it has crashed several servers") {
    fixture it;
    for (std::uint64_t n = 0; n < 4; ++n) {
        for (int repeat = 0; repeat < 3; ++repeat) {
            it.server_ends_on(fixture::of({common, crashing}, 0x100 + n), 600ms);
            it.answer({common});
        }
    }
    it.settle();
    CHECK(it.held({crashing}));
    CHECK_FALSE(it.held({common}));
}

// Guards against refusing a request that many send, because all servers were lost at the same moment.
TEST_CASE("a request answered before is not held when several servers that work on it end together") {
    fixture it;
    const auto popular = fixture::of({}, 0x600d);
    it.answer_request(popular);
    for (int n = 0; n < 12; ++n) {
        it.server_ends_on(popular, 1ms);
    }
    it.settle();
    CHECK_FALSE(it.subject.held(popular));
    fixture other;
    for (int n = 0; n < 3; ++n) {
        other.server_ends_on(popular, 1ms);
    }
    other.settle();
    REQUIRE(other.subject.held(popular));
    it.subject.on_report("other", other.subject.take_report().value());
    CHECK_FALSE(it.subject.held(popular));
    // It tells the other gateway so.
    other.subject.on_report("it", it.subject.take_report().value());
    CHECK_FALSE(other.subject.held(popular));
}

// Guards against ends that no gateway sees often enough by itself.
TEST_CASE("gateways recognise a request that comes again at another one each time") {
    fixture gateways[3];
    const auto bad = fixture::of({}, 0xbad);
    for (int n = 0; n < 3; ++n) {
        gateways[n].next = 100 * n; // Names other servers.
        gateways[n].server_ends_on(bad, 100ms);
    }
    for (int n = 1; n < 3; ++n) {
        gateways[0].subject.on_report(std::to_string(n), gateways[n].subject.take_report().value());
    }
    gateways[0].settle();
    CHECK(gateways[0].subject.held(bad));
}

// Guards against one more end by the repetition that follows the second one.
TEST_CASE("a request that was at two ends and never answered is not repeated") {
    fixture it;
    const auto bad = fixture::of({}, 0xbad);
    it.server_ends_on(bad, 90ms);
    CHECK_FALSE(it.subject.suspected(bad));
    it.server_ends_on(bad, 90ms);
    CHECK(it.subject.suspected(bad));
    it.answer_request(bad);
    CHECK_FALSE(it.subject.suspected(bad));
}

// Guards against waking all gateways for each answer that an engine breaks off and lives on.
TEST_CASE("an end is told to other gateways only if the engine does not answer") {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    int asked = 0;
    gateway::crash_report_task subject{{.incarnation = "me"}, {clock, store, ids, [&asked](std::string_view address) {
                                                                   ++asked;
                                                                   return address == "alive";
                                                               }}};
    const gateway::crash_observation living{
        1, gateway::observation_kind::ended, "engine-1@1", {part(crashing)}, "alive"};
    const gateway::crash_observation gone{2, gateway::observation_kind::ended, "engine-2@1", {part(crashing)}, "gone"};
    subject.offer({living});
    CHECK(subject.publish());
    CHECK(store.counters().writes == 0);
    subject.offer({living, gone});
    CHECK(subject.publish());
    CHECK(asked == 2);
    const auto found = store.get(subject.own_key()).value();
    REQUIRE(found);
    REQUIRE(gateway::parse_crash_report(*found).value().size() == 1);
    CHECK(gateway::parse_crash_report(*found).value()[0].server == "engine-2@1");
}

// Guards against reports that cannot be read back, and against objects that stay for good.
TEST_CASE("crash reports are stored under the gateway's incarnation and erased when they are empty or old") {
    const request_traits traits{
        part(crashing), part(~std::uint64_t{0}), {trait_kind::whole_request, ~std::uint64_t{0} - 1}};
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{1};
    gateway::crash_report_task subject{
        {.incarnation = "me"}, {clock, store, ids, [](std::string_view address) { return address == "alive"; }}};
    subject.offer({{7, gateway::observation_kind::ended, "engine-1@5", traits, "gone"},
                   {8, gateway::observation_kind::held, "", {part(crashing)}}});
    store.set_faults_once({.outage = true});
    CHECK_FALSE(subject.publish());
    CHECK(subject.publish());
    const auto found = store.get(subject.own_key()).value();
    REQUIRE(found);
    const auto back = gateway::parse_crash_report(*found);
    REQUIRE(back);
    REQUIRE(back.value().size() == 2);
    CHECK(back.value()[0].server == "engine-1@5");
    CHECK(back.value()[0].traits == traits);
    CHECK(back.value()[1].kind == gateway::observation_kind::held);
    REQUIRE(store.put("crash-reports/gone", "{}", store::absent));
    subject.on_object("crash-reports/gone", store.revision());
    clock.advance(19min);
    subject.clean_up();
    CHECK(store.get("crash-reports/gone").value());
    clock.advance(2min);
    subject.clean_up();
    CHECK_FALSE(store.get("crash-reports/gone").value());
    subject.offer({});
    CHECK(subject.publish());
    CHECK_FALSE(store.get(subject.own_key()).value());
}
