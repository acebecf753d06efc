#include "routing/router.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <rapidcheck.h>

using namespace dotterelstack;
using namespace dotterelstack::routing;
using namespace std::chrono_literals;

namespace {

random_source seeded(std::uint64_t seed) {
    return [engine = std::mt19937_64{seed}]() mutable { return engine(); };
}

backend_facts engine(std::string name, std::string domain = "a") {
    return {.name = std::move(name),
            .agent_address = "10.0.0.1:1",
            .incarnation = "i1",
            .failure_domain = std::move(domain),
            .service = "drafting",
            .models = {"m"},
            .total_blocks = 100};
}

constexpr route_request small_request{
    .service = "drafting", .model = "m", .prompt_tokens = 2000, .max_tokens = 500, .failure_domain = "a"};

/** Recomputes the load of one backend server from the full history. */
struct reference_load {
    struct job {
        base::instant start;
        std::optional<base::instant> end;
        std::uint32_t blocks{0};
    };

    std::map<int, job> jobs;
    std::optional<load_report> report;
    base::instant made_at{};

    [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> estimate(base::duration margin, std::uint32_t total) const {
        int reported = 0;
        int known = 0;
        int unreported = 0;
        int free = static_cast<int>(total);
        if (report) {
            reported = static_cast<int>(report->running + report->queued);
            free = static_cast<int>(report->free_blocks);
        }
        int unreported_blocks = 0;
        for (const auto &[id, it] : jobs) {
            const bool included = report && it.start + margin <= made_at;
            if (!it.end) {
                (included ? known : unreported) += 1;
                unreported_blocks += included ? 0 : static_cast<int>(it.blocks);
            } else if (included && *it.end > made_at + margin) {
                reported = std::max(0, reported - 1);
                free += static_cast<int>(it.blocks);
            }
        }
        free = std::min(free, static_cast<int>(total));
        return {static_cast<std::uint32_t>(std::max(reported, known) + unreported),
                static_cast<std::uint32_t>(std::max(0, free - unreported_blocks))};
    }
};

} // namespace

// Guards against a delayed report that hides requests sent after it was made, or counts finished requests twice.
TEST_CASE("the load estimate agrees with one recomputed from the full history") {
    CHECK(rc::check("load differential", [] {
        base::manual_clock clock;
        clock.advance(1h);
        const router_settings settings{};
        router tested{clock, seeded(1), settings};
        tested.update_backend(engine("e"));
        reference_load reference;
        std::uint64_t seq = 0;
        const auto n = *rc::gen::inRange(1, 100);
        for (int it = 0; it < n; ++it) {
            clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 60)});
            const auto what = *rc::gen::inRange(0, 4);
            if (what < 2) {
                tested.started(std::to_string(it), "e", small_request);
                reference.jobs[it] = {clock.now(), std::nullopt, 3};
            } else if (what == 2 && !reference.jobs.empty()) {
                auto place = reference.jobs.begin();
                std::advance(place, *rc::gen::inRange<std::size_t>(0, reference.jobs.size()));
                if (!place->second.end) {
                    place->second.end = clock.now();
                    tested.finished(std::to_string(place->first), "e", outcome::completed);
                }
            } else {
                const load_report report{.seq = seq + *rc::gen::inRange<std::uint64_t>(0, 3),
                                         .running = *rc::gen::inRange(0U, 9U),
                                         .queued = *rc::gen::inRange(0U, 4U),
                                         .free_blocks = *rc::gen::inRange(0U, 101U),
                                         .age = std::chrono::milliseconds{*rc::gen::inRange(0, 400)}};
                const bool newer = !reference.report || report.seq > seq;
                // The time at which successive reports were made never decreases.
                if (newer && clock.now() - report.age >= reference.made_at) {
                    reference.report = report;
                    reference.made_at = clock.now() - report.age;
                    seq = report.seq;
                    RC_ASSERT(tested.apply_report("e", report));
                }
            }
            const auto [outstanding, free] = reference.estimate(settings.report_margin, 100);
            RC_ASSERT(tested.outstanding("e") == outstanding);
            RC_ASSERT(tested.free_blocks("e") == free);
        }
    }));
}

// Guards against the choice of a leaving, unhealthy, excluded or too small backend server, and against a refusal while
// a suitable backend server exists.
TEST_CASE("choices and refusals agree with a scan over all backend servers") {
    CHECK(rc::check("choice differential", [] {
        base::manual_clock clock;
        router tested{clock, seeded(*rc::gen::arbitrary<std::uint64_t>())};
        std::vector<backend_facts> all;
        std::vector<std::uint32_t> free;
        const auto n = *rc::gen::inRange(0, 24);
        for (int it = 0; it < n; ++it) {
            auto facts = engine("e" + std::to_string(it), std::string(1, static_cast<char>('a' + it % 3)));
            facts.models = {*rc::gen::element<std::string>("m", "other")};
            facts.healthy = *rc::gen::inRange(0, 3) != 0;
            facts.leaving = *rc::gen::inRange(0, 2) == 0;
            facts.total_blocks = *rc::gen::inRange(1U, 6U);
            free.push_back(*rc::gen::inRange(0U, 6U));
            tested.update_backend(facts);
            tested.apply_report(facts.name, {.seq = 1, .free_blocks = free.back()});
            all.push_back(std::move(facts));
        }
        const auto excluded = *rc::gen::container<std::vector<std::string>>(
            2, rc::gen::map(rc::gen::inRange(0, 24), [](int it) { return "e" + std::to_string(it); }));
        auto request = small_request;
        request.excluded = excluded;
        int members = 0;
        int leaving = 0;
        int eligible = 0;
        int large = 0;
        std::vector<std::string> fitting;
        for (std::size_t it = 0; it < all.size(); ++it) {
            const auto &facts = all[it];
            if (facts.models.front() != "m") {
                continue;
            }
            ++members;
            leaving += facts.leaving ? 1 : 0;
            if (facts.leaving || !facts.healthy ||
                std::find(excluded.begin(), excluded.end(), facts.name) != excluded.end()) {
                continue;
            }
            ++eligible;
            large += facts.total_blocks >= 3 ? 1 : 0;
            if (facts.total_blocks >= 3 && free[it] >= 3) {
                fitting.push_back(facts.name);
            }
        }
        const auto got = tested.choose(request);
        if (!fitting.empty()) {
            RC_ASSERT(got.has_value());
            RC_ASSERT(std::find(fitting.begin(), fitting.end(), got.value().backend->name) != fitting.end());
            return;
        }
        RC_ASSERT(got.has_error());
        const auto kind = members == 0         ? refusal_kind::no_backend
                          : leaving == members ? refusal_kind::all_leaving
                          : eligible == 0      ? refusal_kind::no_backend
                                               : refusal_kind::no_memory;
        RC_ASSERT(got.error().kind == kind);
        RC_ASSERT(got.error().permanent == (kind == refusal_kind::no_memory && large == 0));
    }));
}

// Guards against herding: several entries with the same stale reports must not all choose the runner that appears idle.
TEST_CASE("entries with identical stale reports spread their choices") {
    base::manual_clock clock;
    std::map<std::string, int> chosen;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        router entry{clock, seeded(seed)};
        for (int it = 0; it < 12; ++it) {
            const auto facts = engine("e" + std::to_string(it));
            entry.update_backend(facts);
            entry.apply_report(facts.name, {.seq = 1, .running = it == 0 ? 0U : 20U, .free_blocks = 80});
        }
        ++chosen[entry.choose(small_request).value().backend->name];
    }
    CHECK(chosen["e0"] < 60);
    CHECK(chosen.size() >= 8);
}

// Guards against a prefix hit that outweighs any queue, and against one that is ignored.
TEST_CASE("a cached prefix is preferred until the queue costs more than the prefix saves") {
    base::manual_clock clock;
    router entry{clock, seeded(3)};
    for (int it = 0; it < 12; ++it) {
        entry.update_backend(engine("e" + std::to_string(it)));
    }
    const std::vector<std::uint64_t> blocks{11, 12, 13, 14, 15, 16, 17, 18};
    auto request = small_request;
    request.prompt_tokens = 8000;
    request.prefix_blocks = blocks;
    entry.started("first", "e7", request);
    entry.finished("first", "e7", outcome::completed);
    const auto hit = entry.choose(request).value();
    CHECK(hit.backend->name == "e7");
    CHECK(hit.hit_tokens == 8000);
    entry.apply_report("e7", {.seq = 1, .running = 30, .queued = 30, .free_blocks = 50});
    CHECK(entry.choose(request).value().backend->name != "e7");
}

// Guards against requests sent to an engine that keeps failing, and against an engine that is avoided for ever.
TEST_CASE("recent failures make an engine less preferred and decay") {
    base::manual_clock clock;
    router entry{clock, seeded(4)};
    entry.update_backend(engine("bad"));
    entry.update_backend(engine("good"));
    for (int it = 0; it < 3; ++it) {
        entry.started("r", "bad", small_request);
        entry.finished("r", "bad", outcome::failed);
    }
    for (int it = 0; it < 20; ++it) {
        CHECK(entry.choose(small_request).value().backend->name == "good");
    }
    clock.advance(10s);
    CHECK(entry.recent_failures("bad") == doctest::Approx(1.5));
}

// Guards against load, failures and prefixes of a crashed engine that are attributed to its successor.
TEST_CASE("a new incarnation starts empty and ignores the end of old requests") {
    base::manual_clock clock;
    router entry{clock, seeded(5)};
    entry.update_backend(engine("e"));
    CHECK(entry.apply_report("e", {.seq = 9, .running = 4, .free_blocks = 10}));
    entry.started("old", "e", small_request);
    CHECK(entry.outstanding("e") == 5);
    auto facts = engine("e");
    facts.incarnation = "i2";
    entry.update_backend(facts);
    CHECK(entry.outstanding("e") == 0);
    entry.finished("old", "e", outcome::failed);
    CHECK(entry.recent_failures("e") == 0);
    CHECK(entry.apply_report("e", {.seq = 1, .running = 1, .free_blocks = 10}));
    entry.started("removed", "e", small_request);
    entry.remove_backend("e");
    entry.update_backend(engine("e"));
    entry.finished("removed", "e", outcome::failed);
    CHECK(entry.outstanding("e") == 0);
}

// Guards against plain services that are routed by token counts, which they do not have.
TEST_CASE("plain services are routed by in-flight work and health") {
    base::manual_clock clock;
    router entry{clock, seeded(6)};
    for (const auto *name : {"b1", "b2", "b3"}) {
        entry.update_backend({.name = name, .failure_domain = "a", .service = "booking", .role = backend_role::plain});
    }
    const route_request call{.service = "booking", .failure_domain = "a"};
    entry.started("1", "b1", call);
    entry.started("2", "b2", call);
    CHECK(entry.choose(call).value().backend->name == "b3");
    entry.started("3", "b3", call);
    entry.finished("2", "b2", outcome::completed);
    CHECK(entry.choose(call).value().backend->name == "b2");
}

// Guards against a decode phase on a prefill engine, whose long steps would increase the time between tokens.
TEST_CASE("each phase goes to an engine of the matching role") {
    base::manual_clock clock;
    router entry{clock, seeded(7)};
    auto prefill = engine("p");
    prefill.role = backend_role::prefill;
    auto decode = engine("d");
    decode.role = backend_role::decode;
    entry.update_backend(prefill);
    entry.update_backend(decode);
    auto request = small_request;
    request.phase = request_phase::prefill;
    CHECK(entry.choose(request).value().backend->name == "p");
    request.phase = request_phase::decode;
    CHECK(entry.choose(request).value().backend->name == "d");
}

// Guards against responses from a prefill engine because the mixed ones lack memory, and against a refusal when only
// engines set up for the other phase are left.
TEST_CASE("an engine set up for the other phase is the last resort") {
    base::manual_clock clock;
    router entry{clock, seeded(8)};
    auto prefill = engine("p");
    prefill.role = backend_role::prefill;
    entry.update_backend(prefill);
    entry.update_backend(engine("m"));
    CHECK(entry.apply_report("m", {.seq = 1, .running = 60, .free_blocks = 0}));
    CHECK(entry.choose(small_request).error().kind == refusal_kind::no_memory);
    entry.remove_backend("m");
    CHECK(entry.choose(small_request).value().backend->name == "p");
}
