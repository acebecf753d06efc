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

config::fleet_snapshot sample_facts() {
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

// Guards against a report of risks for a change that breaks nothing.
TEST_CASE("a harmless change has no risk") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows[{"north", "drafting"}].concurrency = 7;
    after.rows[{"north", "drafting"}].weight = 0.5;
    after.planned["p"] = drain("p", "e3");
    const auto facts = sample_facts();
    CHECK(config::find_risks(before, after, &facts).empty());
    CHECK(config::find_risks({}, before, &facts).empty());
}

// Guards against organisations and callers that lose access without the operator having accepted it.
TEST_CASE("lost rows, lost services and withdrawn keys are named") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows.erase({"north", "drafting"});
    after.rows.erase({"south", "drafting"});
    after.rows.erase({"south", "booking"});
    after.keys["key-south"].withdrawn = true;
    const auto facts = sample_facts();
    CHECK(names_of(config::find_risks(before, after, &facts)) ==
          std::set<std::string>{"organisation_without_row:organisation/south", "service_lost:row/north/drafting",
                                "key_stops_working:key/key-south"});
}

// Guards against promises 4 and 11 being given up by a flag in a file.
TEST_CASE("opening a service and repeating a booking are named") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.services["drafting"].is_public = true;
    after.services["booking"].routes[1].repeatable = true;
    after.services["booking"].routes[1].is_public = true;
    const auto facts = sample_facts();
    CHECK(names_of(config::find_risks(before, after, &facts)) ==
          std::set<std::string>{"service_made_public:service/drafting",
                                "service_made_public:service/booking POST /bookings",
                                "route_made_repeatable:service/booking POST /bookings"});
}

// Guards against a drain that leaves a failure domain or the demand without engines.
TEST_CASE("drains are checked against engines and present demand") {
    const auto before = test::sample_declarations();
    const auto facts = sample_facts();
    auto after = before;
    after.planned["p"] = drain("p", "", "h1");
    CHECK(names_of(config::find_risks(before, after, &facts)) ==
          std::set<std::string>{"model_without_engine:m1 in rajkot"});
    after.planned["q"] = drain("q", "e2");
    CHECK(names_of(config::find_risks(before, after, &facts)) ==
          std::set<std::string>{"model_without_engine:m1 in rajkot", "capacity_below_demand:service/drafting"});
    after.planned["p"].state = config::planned_state::cancelled;
    CHECK(config::find_risks(before, after, &facts).empty());
    after.services["drafting"].models.emplace_back("m2");
    CHECK(names_of(config::find_risks(before, after, &facts)) ==
          std::set<std::string>{"model_without_engine:m2 of service/drafting"});
}

// Guards against a limit that falls below what an organisation uses, and against checks that are silently skipped.
TEST_CASE("limits below present use are named, and so is missing knowledge") {
    const auto before = test::sample_declarations();
    auto after = before;
    after.rows[{"north", "drafting"}].concurrency = 5;
    after.rows[{"north", "drafting"}].generated_tokens_per_second = 100;
    const auto facts = sample_facts();
    const auto got = config::find_risks(before, after, &facts);
    REQUIRE(got.size() == 2);
    CHECK(got[0].detail == "concurrency falls to 5.0 and 6.0 are in use now");
    CHECK(names_of(config::find_risks(before, after, nullptr)) == std::set<std::string>{"present_use_unknown:fleet"});
}

// Guards against an acceptance that covers more than the operator named.
TEST_CASE("risks are accepted by name or by name and subject") {
    const std::vector<config::risk> risks{{"service_lost", "row/a/s", "", ""}, {"service_lost", "row/b/s", "", ""}};
    CHECK(config::not_accepted(risks, {"service_lost"}).empty());
    CHECK(config::not_accepted(risks, {"service_lost:row/a/s"}).size() == 1);
    CHECK(config::not_accepted(risks, {"key_stops_working"}).size() == 2);
    const auto ec = config::describe(risks);
    CHECK(ec.kind == base::error_kind::refused);
    CHECK(ec.message.find("--accept-risk service_lost") != std::string::npos);
}
