#include "admission/fair_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

using namespace dotterelstack;

// One organisation asks for ten times as much as another. Guards against shares by number of arrivals, with which the
// small one waits behind all of the large one's requests.
TEST_CASE("an organisation that asks for little does not wait behind one that asks for much") {
    admission::fair_shares subject;
    std::vector<std::pair<double, std::string>> order;
    order.reserve(55);
    for (int n = 0; n < 50; ++n) {
        order.emplace_back(subject.arrive("llm", "large", 400), "large");
    }
    for (int n = 0; n < 5; ++n) {
        order.emplace_back(subject.arrive("llm", "small", 400), "small");
    }
    std::ranges::stable_sort(order, {}, &std::pair<double, std::string>::first);
    CHECK(std::count_if(order.begin(), order.begin() + 10, [](const auto &it) { return it.second == "small"; }) == 5);
}

// Long and short requests of two organisations. Guards against shares that count requests instead of their work.
TEST_CASE("shares count the work that is asked for") {
    admission::fair_shares subject;
    std::vector<std::pair<double, std::string>> order;
    for (int n = 0; n < 40; ++n) {
        order.emplace_back(subject.arrive("llm", "long", 4000), "long");
        order.emplace_back(subject.arrive("llm", "short", 400), "short");
    }
    std::ranges::stable_sort(order, {}, &std::pair<double, std::string>::first);
    const auto n = std::count_if(order.begin(), order.begin() + 33, [](const auto &it) { return it.second == "long"; });
    CHECK(n >= 3);
    CHECK(n <= 4);
}

// An organisation returns after a pause. Guards against credit for idle time, with which it would displace all others.
TEST_CASE("an organisation that was idle earns no credit") {
    admission::fair_shares subject;
    (void)subject.arrive("llm", "idle", 100);
    for (int n = 0; n < 1000; ++n) {
        subject.place("llm", subject.arrive("llm", "busy", 100));
    }
    const double back = subject.arrive("llm", "idle", 100);
    const double next = subject.arrive("llm", "busy", 100);
    CHECK(next - back <= 100);
}

// Requests of an organisation are refused. Guards against charges for work that was never done.
TEST_CASE("work of requests that were not placed counts no longer") {
    admission::fair_shares subject;
    for (int n = 0; n < 10; ++n) {
        (void)subject.arrive("llm", "refused", 100);
        subject.withdraw("llm", "refused", 100);
    }
    CHECK(subject.arrive("llm", "refused", 100) == 0);
    CHECK(subject.arrive("desk", "refused", 100) == 0);
}

// Keys come and go over months. Guards against memory for each organisation that ever sent a request.
TEST_CASE("organisations without work are forgotten") {
    admission::fair_shares subject;
    for (int n = 0; n < 100; ++n) {
        subject.place("llm", subject.arrive("llm", "org-" + std::to_string(n), 10));
    }
    subject.place("llm", subject.arrive("llm", "last", 10));
    subject.place("llm", subject.arrive("llm", "last", 10));
    subject.expire();
    CHECK(subject.size("llm") == 1);
}
