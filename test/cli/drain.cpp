#include <doctest/doctest.h>

#include "cli/fixture.hpp"

using namespace dotterelstack;
using test::has;

// Guards against a drain without a recorded author, and against concurrent drains of the same target.
TEST_CASE("drain records a planned change, status shows its progress") {
    test::cli_fixture it;
    it.start();
    CHECK(it.run({"drain", "--backend", "e1", "--author", "alice"}) == 3);
    CHECK(has(it.err, "model_without_engine: m1 in a"));
    CHECK(it.run({"drain", "--backend", "e1", "--author", "alice", "--accept-risk", "model_without_engine"}) == 0);
    REQUIRE(it.state()->values().planned.size() == 1);
    const auto plan = it.state()->values().planned.begin()->second;
    CHECK(plan.requested_by == "alice");
    CHECK(plan.failure_domain == "a");
    CHECK(plan.state == config::planned_state::requested);
    CHECK(it.run({"drain", "--backend", "e1", "--author", "bob"}) == 3);
    CHECK(has(it.err, "alice has already asked for change " + plan.id));
    base::id_source ids;
    config::repository planner{it.store, ids, config::default_repository_options()};
    REQUIRE(planner.commit("planner", [&plan](const config::config_state &) {
        auto next = plan;
        next.state = config::planned_state::running;
        next.progress = "3 requests left";
        return base::result<std::vector<config::item_change>>{
            std::vector<config::item_change>{{config::item_name(plan), nlohmann::json(plan), nlohmann::json(next)}}};
    }));
    CHECK(it.run({"status"}) == 0);
    CHECK(has(it.out, "planned " + plan.id + " drain e1 a running by alice: 3 requests left"));
    CHECK(has(it.out, "entry entry-1 127.0.0.1:11 a version 1 (behind 3) age 5 ms"));
    CHECK(has(it.out, "backend e2 drafting b blocks 10/100"));
    CHECK(it.run({"drain", "--cancel", plan.id, "--author", "alice"}) == 0);
    CHECK(it.state()->values().planned.at(plan.id).state == config::planned_state::cancelled);
}

// Guards against planning a drain of a misspelt target, which would never finish.
TEST_CASE("a drain of a target that no entry knows is refused") {
    test::cli_fixture it;
    it.start();
    CHECK(it.run({"drain", "--backend", "e9", "--author", "alice"}) == 2);
    CHECK(has(it.err, "known: e1 e2"));
    CHECK(it.run({"drain", "--author", "alice"}) == 2);
    CHECK(it.run({"drain", "--backend", "e1", "--host", "h1", "--author", "alice"}) == 2);
    CHECK(it.run({"drain", "--host", "h2", "--replace", "--set-role", "prefill", "--author", "alice"}) == 2);
    CHECK(it.state()->values().planned.empty());
    it.entries.bodies.erase("127.0.0.1:11");
    CHECK(it.run({"status"}) == 1);
    CHECK(has(it.out, "no answer: no answer in time"));
}
