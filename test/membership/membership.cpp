#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "membership/host_table.hpp"
#include "membership/subset.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using membership::host_state;

namespace {

const std::vector<membership::listed_host> all_hosts{{"h1", "agent", "10.0.0.1:1", "d1", false},
                                                     {"h2", "agent", "10.0.0.2:1", "d2", false}};
const std::vector<membership::listed_host> without_h1{all_hosts[1]};

std::vector<std::string> names(std::string_view prefix, std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back(std::string{prefix} + std::to_string(n));
    }
    std::ranges::sort(out);
    return out;
}

/** @brief Advances the clock in ticks while the given hosts answer. */
void advance_ticks(base::manual_clock &clock, membership::host_table &table, base::duration span,
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

// Guards against new work for a leaving or silent host that the lagging list still has as live.
TEST_CASE("a host that announces leaving or is silent gets no new work, whatever the list contains") {
    base::manual_clock clock;
    membership::host_table table{clock};
    CHECK(table.on_list(all_hosts).size() == 2);
    const auto changed = table.on_heartbeat("h1", true);
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].state == host_state::leaving);
    CHECK(table.on_list(all_hosts).empty());
    CHECK_FALSE(table.accepts_work("h1"));
    advance_ticks(clock, table, 2s, {"h1"});
    CHECK(table.state("h2") == host_state::suspected);
    CHECK(table.on_list(all_hosts).empty());
    CHECK_FALSE(table.accepts_work("h2"));
    CHECK(table.on_heartbeat("h2", false).size() == 1);
    CHECK(table.accepts_work("h2"));
    CHECK(table.on_refused("h2").size() == 1);
    CHECK_FALSE(table.accepts_work("h2"));
}

// Guards against removing a host because of one incomplete list, and against keeping a host that is gone.
TEST_CASE("a host that answers is removed after two lists without it, a silent one after the first") {
    base::manual_clock clock;
    membership::host_table table{clock};
    (void)table.on_list(all_hosts);
    CHECK(table.on_list(without_h1).empty());
    CHECK(table.accepts_work("h1"));
    CHECK(table.on_list(all_hosts).empty());
    CHECK(table.on_list(without_h1).empty());
    const auto gone = table.on_list(without_h1);
    REQUIRE(gone.size() == 1);
    CHECK((gone[0].facts.host == "h1" && gone[0].state == host_state::gone));
    CHECK(table.size() == 1);
    (void)table.on_list(all_hosts);
    advance_ticks(clock, table, 2s, {"h2"});
    CHECK(table.on_list(without_h1).size() == 1);
    CHECK(table.state("h1") == host_state::gone);
    CHECK(table.on_heartbeat("h1", false).empty());
}

// Guards against a restarted process that inherits the suspected or leaving state of the former one.
TEST_CASE("a host with a new address starts in a fresh state") {
    base::manual_clock clock;
    membership::host_table table{clock};
    (void)table.on_list(all_hosts);
    (void)table.on_heartbeat("h1", true);
    auto moved = all_hosts;
    moved[0].address = "10.0.0.1:2";
    CHECK(table.on_list(moved).size() == 1);
    CHECK(table.accepts_work("h1"));
}

// Guards against a paused observer that suspects all peers when it resumes.
TEST_CASE("a pause of the observer does not count as silence of its peers") {
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

// Guards against an entry that receives too many reports and against an agent that is assigned to no entry.
TEST_CASE("subsets at the design scale are bounded, cover all agents and serve every service") {
    const auto entries = names("entry-", 340);
    std::vector<membership::service_agents> services;
    services.reserve(14);
    for (int n = 0; n < 14; ++n) {
        services.push_back({std::to_string(n), names("agent-" + std::to_string(n) + "-", n == 0 ? 580 : 540)});
    }
    const auto limits = membership::divide_reports(services, membership::max_reports_per_second);
    std::size_t all = 0;
    for (const auto it : limits) {
        all += it;
    }
    CHECK(all <= membership::max_reports_per_second);
    std::map<std::string, int> assignments;
    for (const auto &entry : entries) {
        const auto subset = membership::choose_subset(entry, entries, services[0], limits[0]);
        CHECK(subset.size() <= limits[0]);
        CHECK_FALSE(subset.empty());
        for (const auto &it : subset) {
            ++assignments[it];
        }
    }
    CHECK(assignments.size() == services[0].agents.size());
}

// Guards against small sites where an entry receives reports from only a part of the few agents.
TEST_CASE("each entry of a small site receives the reports of every agent") {
    const auto entries = names("entry-", 6);
    const std::vector<membership::service_agents> services{{"drafting", names("a", 12)}, {"booking", names("b", 3)}};
    const auto limits = membership::divide_reports(services, membership::max_reports_per_second);
    CHECK(membership::choose_subset(entries[2], entries, services[0], limits[0]).size() == 12);
    CHECK(membership::choose_subset(entries[5], entries, services[1], limits[1]).size() == 3);
}

// Guards against the removal of one agent reassigning many of the others.
TEST_CASE("few agents are reassigned when one leaves") {
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
