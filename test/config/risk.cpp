#include "config/risk.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

std::set<std::string> names_of(const std::vector<config::risk> &risks) {
    std::set<std::string> out;
    for (const auto &it : risks) {
        out.insert(it.name + ":" + it.subject);
    }
    return out;
}

config::fleet_snapshot sample_fleet() {
    config::fleet_snapshot out;
    out.backends = {{"e1", "h1", "drafting", {"m1"}, "rajkot", false, 40, 100},
                    {"e2", "h2", "drafting", {"m1"}, "jamnagar", false, 30, 100},
                    {"e3", "h3", "drafting", {"m1"}, "jamnagar", false, 30, 100}};
    out.rows = {{"north", "drafting", 6, 3, 900, 200}};
    return out;
}

config::planned_change drain(const std::string &id, const std::string &backend, const std::string &host = {}) {
    return {id, config::planned_kind::drain, backend, host, "", "", "alice", config::planned_state::requested, ""};
}

} // namespace

// Guards against false positives for a change that breaks nothing.
TEST_CASE("a harmless change has no risk") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows[{"north", "drafting"}].concurrency = 7;
    after.rows[{"north", "drafting"}].weight = 0.5;
    after.planned["p"] = drain("p", "e3");
    const auto fleet = sample_fleet();
    CHECK(config::find_risks(before, after, &fleet).empty());
    CHECK(config::find_risks({}, before, &fleet).empty());
}

// Guards against a change that takes access from organisations or callers without the operator's acceptance.
TEST_CASE("lost rows, lost services and withdrawn keys are reported as risks") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows.erase({"north", "drafting"});
    after.rows.erase({"south", "drafting"});
    after.rows.erase({"south", "booking"});
    after.keys["key-south"].withdrawn = true;
    const auto fleet = sample_fleet();
    CHECK(names_of(config::find_risks(before, after, &fleet)) ==
          std::set<std::string>{"organisation_without_row:organisation/south", "service_lost:row/north/drafting",
                                "key_stops_working:key/key-south"});
}

// Guards against giving up promises 4 and 11 by a flag in a file: calls that become public, or that may be executed
// more than once.
TEST_CASE("making a service public and a booking repeatable are reported as risks") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.services["drafting"].is_public = true;
    after.services["booking"].routes[1].repeatable = true;
    after.services["booking"].routes[1].is_public = true;
    const auto fleet = sample_fleet();
    CHECK(names_of(config::find_risks(before, after, &fleet)) ==
          std::set<std::string>{"service_made_public:service/drafting",
                                "service_made_public:service/booking POST /bookings",
                                "route_made_repeatable:service/booking POST /bookings"});
}

// Guards against a drain that leaves a failure domain without an engine, or too little capacity for the demand.
TEST_CASE("drains are checked against the remaining engines and the current demand") {
    const auto before = test::sample_declarations();
    const auto fleet = sample_fleet();
    auto after = before;
    after.planned["p"] = drain("p", "", "h1");
    CHECK(names_of(config::find_risks(before, after, &fleet)) ==
          std::set<std::string>{"model_without_engine:m1 in rajkot"});
    after.planned["q"] = drain("q", "e2");
    CHECK(names_of(config::find_risks(before, after, &fleet)) ==
          std::set<std::string>{"model_without_engine:m1 in rajkot", "capacity_below_demand:service/drafting"});
    after.planned["p"].state = config::planned_state::cancelled;
    CHECK(config::find_risks(before, after, &fleet).empty());
    after.services["drafting"].models.emplace_back("m2");
    CHECK(names_of(config::find_risks(before, after, &fleet)) ==
          std::set<std::string>{"model_without_engine:m2 of service/drafting"});
}

// Guards against a limit below the current use of an organisation, and against checks that are silently skipped.
TEST_CASE("limits below the current use are reported, and so is an unknown state of the fleet") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows[{"north", "drafting"}].concurrency = 5;
    after.rows[{"north", "drafting"}].generated_tokens_per_second = 100;
    const auto fleet = sample_fleet();
    const auto got = config::find_risks(before, after, &fleet);
    REQUIRE(got.size() == 2);
    CHECK(got[0].detail == "concurrency falls to 5.0 and 6.0 are in use now");
    CHECK(names_of(config::find_risks(before, after, nullptr)) == std::set<std::string>{"present_use_unknown:fleet"});
}

// Guards against an acceptance that covers more risks than the operator named.
TEST_CASE("risks are accepted by name or by name and subject") {
    const std::vector<config::risk> risks{{"service_lost", "row/a/s", "", ""}, {"service_lost", "row/b/s", "", ""}};
    CHECK(config::not_accepted(risks, {"service_lost"}).empty());
    CHECK(config::not_accepted(risks, {"service_lost:row/a/s"}).size() == 1);
    CHECK(config::not_accepted(risks, {"key_stops_working"}).size() == 2);
    const auto ec = config::describe(risks);
    CHECK(ec.kind == base::error_kind::refused);
    CHECK(ec.message.find("--accept-risk service_lost") != std::string::npos);
}
