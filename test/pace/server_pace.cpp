#include "pace/server_pace.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace dotterelstack;
using namespace std::chrono_literals;
using base::instant;

namespace {

constexpr std::uint32_t slots = 16;
constexpr std::uint32_t gateways = 31;
constexpr auto answer_time = 100ms;

/** Paces of all gateways at one server that they discover in the same instant. */
std::vector<pace::server_pace> site_of(std::uint32_t n, instant now = {}) {
    std::vector<pace::server_pace> out;
    for (std::uint32_t it = 0; it < n; ++it) {
        out.emplace_back(pace::pace_settings{}, now, slots, pace::first_step_of(slots, n, it));
    }
    return out;
}

std::uint32_t total(const std::vector<pace::server_pace> &all, instant now) {
    std::uint32_t out = 0;
    for (const auto &it : all) {
        out += it.limit(now);
    }
    return out;
}

pace::server_pace alone(std::uint32_t first = 1) {
    return {pace::pace_settings{}, instant{}, slots, pace::first_step{.requests = first}};
}

/** As many answers as may be in progress, each sent now. */
void round_of(pace::server_pace &subject, instant now, double ratio) {
    for (auto n = subject.limit(now); n > 0; --n) {
        subject.on_time(now, ratio, now);
        subject.on_answer();
    }
}

} // namespace

// Load: 31 gateways discover one server in the same instant. Guards against a flood of several requests from each.
TEST_CASE("the first requests of all gateways together are as many as the server has slots") {
    const auto all = site_of(gateways);
    CHECK(total(all, instant{}) == slots);
    CHECK(total(all, instant{} + 199ms) == slots);
    CHECK(total(all, instant{} + 200ms) == gateways);
}

// Guards against gateways that never begin at large sites, and against a single gateway that is held to one request.
TEST_CASE("groups of gateways double, and few gateways share the slots") {
    CHECK(pace::first_step_of(16, 340, 0).group == 0);
    CHECK(pace::first_step_of(16, 340, 15).group == 0);
    CHECK(pace::first_step_of(16, 340, 16).group == 1);
    CHECK(pace::first_step_of(16, 340, 47).group == 1);
    CHECK(pace::first_step_of(16, 340, 48).group == 2);
    CHECK(pace::first_step_of(16, 340, 339).group == 4);
    CHECK(pace::first_step_of(16, 4, 3).requests == 4);
    CHECK(pace::first_step_of(16, 1, 0).requests == 16);
    CHECK(pace::first_step_of(0, 0, 0).requests == 1);
}

// Load: a server that is as fast as the others at once. Guards against a ramp over time that leaves it idle.
TEST_CASE("a server whose answers hold is in full use after a few rounds of answers") {
    auto subject = alone();
    instant now{};
    for (int n = 0; n < 4; ++n) {
        CHECK_FALSE(subject.over(now));
        round_of(subject, now, 1.0);
        now += answer_time;
    }
    CHECK(subject.over(now));
}

// Load: a server that warms up: its first answers take three times as long, later ones less and less.
TEST_CASE("a server that warms up is raised with its answers") {
    auto subject = alone();
    instant now{};
    double ratio = 3;
    std::uint32_t last = 0;
    for (int n = 0; n < 4; ++n) {
        CHECK(subject.limit(now) > last);
        last = subject.limit(now);
        round_of(subject, now, ratio);
        ratio = std::max(1.0, ratio * 0.7);
        now += answer_time;
    }
    CHECK(subject.over(now));
}

// Load: a server that comes back at half speed. Guards against taking its new usual time for a queue.
TEST_CASE("a server at half speed is raised as long as its times hold") {
    auto subject = alone();
    instant now{};
    for (int n = 0; n < 4; ++n) {
        round_of(subject, now, 2.0);
        now += answer_time;
    }
    CHECK(subject.over(now));
}

// Load: a server whose answers get slower with each further request. Guards against growth by count.
TEST_CASE("a slow answer, a refusal or a failure halves the limit once in a round") {
    auto subject = alone(8);
    const instant now{1s};
    subject.on_time(now, 1.0, now);
    subject.on_time(now, 2.5, now);
    CHECK(subject.limit(now) == 4);
    // Sent before the setback.
    subject.on_setback(now + 10ms, now - 10ms);
    CHECK(subject.limit(now + 10ms) == 4);
    subject.on_setback(now + 10ms, now + 5ms);
    CHECK(subject.limit(now + 10ms) == 2);
    // From then on it rises by about one in a round of answers.
    subject.on_answer();
    subject.on_answer();
    CHECK(subject.limit(now + 10ms) == 2);
    subject.on_answer();
    CHECK(subject.limit(now + 10ms) == 3);
}

// Load: a server that fails again as soon as it gets requests. Guards against trying it without a pause, and against
// leaving it alone for good.
TEST_CASE("rests of a server that fails again and again double up to their limit, and an answer ends them") {
    auto subject = alone();
    instant now{};
    base::duration last{0};
    for (int n = 0; n < 8; ++n) {
        subject.on_setback(now, now);
        CHECK(subject.limit(now) == 0);
        const auto rest = subject.opens_at() - now;
        CHECK(rest >= last);
        CHECK(rest <= pace::pace_settings{}.longest_rest);
        last = rest;
        now = subject.opens_at();
        CHECK(subject.limit(now) == 1);
    }
    CHECK(last == pace::pace_settings{}.longest_rest);
    subject.on_answer();
    subject.on_answer();
    now += 1ms;
    subject.on_setback(now, now);
    CHECK(subject.limit(now) >= 1);
}

// Guards against a limit that stays in force at gateways which seldom send there.
TEST_CASE("the pacing ends after a calm time") {
    auto subject = alone();
    CHECK_FALSE(subject.over(instant{} + 4900ms));
    CHECK(subject.over(instant{} + 5s));
    subject.on_setback(instant{} + 4s, instant{} + 4s);
    CHECK_FALSE(subject.over(instant{} + 8900ms));
    CHECK(subject.over(instant{} + 9s));
}
