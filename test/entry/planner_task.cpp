#include "entry/planner_task.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace dotterelstack::entry;

namespace {

config::planned_change change(config::planned_kind kind) {
    config::planned_change it;
    it.kind = kind;
    it.state = config::planned_state::running;
    return it;
}

std::vector<planned_backend> with_active(std::uint64_t n) {
    return {{"e1", "h1", "127.0.0.1:1", "rajkot", true, n}};
}

} // namespace

// Guards against an order that is issued while requests run, or while an entry may still send new ones.
TEST_CASE("a role change is ordered only after the configuration was propagated and running requests have ended") {
    plan_progress progress;
    const auto it = change(config::planned_kind::set_role);
    for (int n = 0; n < 10; ++n) {
        CHECK(next_plan_step(it, with_active(0), false, progress) == plan_step::wait_for_config);
    }
    CHECK(next_plan_step(it, with_active(1), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(1), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::order);
    progress.order_done = true;
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::finish);
}

// Guards against a drain that is recorded as done while a request runs, and against a change whose start is not
// recorded.
TEST_CASE("a drain is recorded as running, then finishes when no requests run") {
    plan_progress progress;
    auto it = change(config::planned_kind::drain);
    it.state = config::planned_state::requested;
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::record_running);
    it.state = config::planned_state::running;
    CHECK(next_plan_step(it, with_active(2), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::wait_for_work);
    CHECK(next_plan_step(it, with_active(0), true, progress) == plan_step::finish);
}
