#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "membership/host_table.hpp"
#include "membership/subset.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using membership::host_state;

namespace {

const std::vector<membership::listed_host> both{{"h1", "agent", "10.0.0.1:1", "d1", false},
                                                {"h2", "agent", "10.0.0.2:1", "d2", false}};
const std::vector<membership::listed_host> second{both[1]};

std::vector<std::string> names(std::string_view prefix, std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back(std::string{prefix} + std::to_string(n));
    }
    std::ranges::sort(out);
    return out;
}

/** @brief Lets time pass in ticks while the named hosts answer. */
void pass(base::manual_clock &clock, membership::host_table &table, base::duration span,
          const std::vector<std::string> &answering) {
    for (base::duration n{0}; n < span; n += 250ms) {
        clock.advance(250ms);
        for (const auto &it : answering) {
            (void)table.on_heartbeat(it, false);
        }
        (void)table.on_time();
    }
}

} // namespace

// Guards against new work for a host that the lagging list still shows as live.
TEST_CASE("a host that says it leaves or falls silent gets no new work whatever the list says") {
    base::manual_clock clock;
    membership::host_table table{clock};
    CHECK(table.on_list(both).size() == 2);
    const auto left = table.on_heartbeat("h1", true);
    REQUIRE(left.size() == 1);
    CHECK(left[0].state == host_state::leaving);
    CHECK(table.on_list(both).empty());
    CHECK_FALSE(table.accepts_work("h1"));
    pass(clock, table, 2s, {"h1"});
    CHECK(table.state("h2") == host_state::suspected);
    CHECK(table.on_list(both).empty());
    CHECK_FALSE(table.accepts_work("h2"));
    CHECK(table.on_heartbeat("h2", false).size() == 1);
    CHECK(table.accepts_work("h2"));
    CHECK(table.on_refused("h2").size() == 1);
    CHECK_FALSE(table.accepts_work("h2"));
}

// Guards against dropping a host because of one short list, and against keeping one that is gone.
TEST_CASE("a host that answers stays until two lists lack it, a silent one goes with the first") {
    base::manual_clock clock;
    membership::host_table table{clock};
    (void)table.on_list(both);
    CHECK(table.on_list(second).empty());
    CHECK(table.accepts_work("h1"));
    CHECK(table.on_list(both).empty());
    CHECK(table.on_list(second).empty());
    const auto gone = table.on_list(second);
    REQUIRE(gone.size() == 1);
    CHECK((gone[0].facts.host == "h1" && gone[0].state == host_state::gone));
    CHECK(table.size() == 1);
    (void)table.on_list(both);
    pass(clock, table, 2s, {"h2"});
    CHECK(table.on_list(second).size() == 1);
    CHECK(table.state("h1") == host_state::gone);
    CHECK(table.on_heartbeat("h1", false).empty());
}

// Guards against a restarted process that inherits the silence or the leaving of the former one.
TEST_CASE("a new address begins anew") {
    base::manual_clock clock;
    membership::host_table table{clock};
    (void)table.on_list(both);
    (void)table.on_heartbeat("h1", true);
    auto moved = both;
    moved[0].address = "10.0.0.1:2";
    CHECK(table.on_list(moved).size() == 1);
    CHECK(table.accepts_work("h1"));
}

// Guards against a paused observer that suspects everyone when it resumes.
TEST_CASE("a pause of the observer is granted to its peers") {
    base::manual_clock clock;
    membership::liveness subject{clock};
    subject.add("silent");
    subject.add("talking");
    clock.advance(250ms);
    CHECK(subject.on_time().empty());
    clock.advance(60s);
    CHECK(subject.on_time().empty());
    for (int n = 0; n < 4; ++n) {
        clock.advance(250ms);
        (void)subject.on_heartbeat("talking");
        CHECK(subject.on_time().empty());
    }
    clock.advance(250ms);
    CHECK(subject.on_time() == std::vector<std::string>{"silent"});
    CHECK(subject.suspected("silent"));
    CHECK_FALSE(subject.suspected("talking"));
    CHECK(subject.on_heartbeat("silent"));
    clock.advance(60s);
    (void)subject.on_heartbeat("talking");
    CHECK(subject.on_time().empty());
}

// Guards against an entry that hears too many reports and against an agent that no entry hears.
TEST_CASE("subsets at the design scale are bounded, cover all agents and serve every service") {
    const auto entries = names("entry-", 340);
    std::vector<membership::service_agents> services;
    services.reserve(14);
    for (int n = 0; n < 14; ++n) {
        services.push_back({std::to_string(n), names("agent-" + std::to_string(n) + "-", n == 0 ? 580 : 540)});
    }
    const auto numbers = membership::divide_reports(services, membership::max_reports_per_second);
    std::size_t all = 0;
    for (const auto it : numbers) {
        all += it;
    }
    CHECK(all <= membership::max_reports_per_second);
    std::map<std::string, int> heard;
    for (const auto &entry : entries) {
        const auto subset = membership::choose_subset(entry, entries, services[0], numbers[0]);
        CHECK(subset.size() <= numbers[0]);
        CHECK_FALSE(subset.empty());
        for (const auto &it : subset) {
            ++heard[it];
        }
    }
    CHECK(heard.size() == services[0].agents.size());
}

// Guards against small sites that lose sight of a part of their few agents.
TEST_CASE("a small site hears every agent") {
    const auto entries = names("entry-", 6);
    const std::vector<membership::service_agents> services{{"drafting", names("a", 12)}, {"booking", names("b", 3)}};
    const auto numbers = membership::divide_reports(services, membership::max_reports_per_second);
    CHECK(membership::choose_subset(entries[2], entries, services[0], numbers[0]).size() == 12);
    CHECK(membership::choose_subset(entries[5], entries, services[1], numbers[1]).size() == 3);
}

// Guards against a change of one agent that moves the others.
TEST_CASE("few agents move when one leaves") {
    const auto entries = names("entry-", 34);
    membership::service_agents service{"s", names("agent-", 54)};
    std::map<std::string, std::vector<std::string>> before;
    for (const auto &it : entries) {
        before[it] = membership::choose_subset(it, entries, service, 4);
    }
    service.agents.erase(service.agents.begin() + 20);
    std::size_t moved = 0;
    for (const auto &it : entries) {
        for (const auto &agent : membership::choose_subset(it, entries, service, 4)) {
            moved += std::ranges::find(before[it], agent) == before[it].end() ? 1 : 0;
        }
    }
    CHECK(moved <= 12);
}
