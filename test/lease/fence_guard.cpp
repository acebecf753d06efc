#include "lease/fence_guard.hpp"

#include <doctest/doctest.h>

#include "lease/lease_record.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

store::object lease_object(std::uint64_t fence) {
    return {"lease/planner", fence + 3, lease::to_json({"a", fence, 1, 5s, false}).dump()};
}

} // namespace

// Guards against an order of a former holder that is admitted, before or after a restart of the agent.
TEST_CASE("only the fence of a fresh lease read is admitted") {
    base::manual_clock clock;
    lease::fence_guard guard{clock, 500ms};
    CHECK_FALSE(guard.on_lease_read(std::nullopt, clock.now()));
    const auto reading = guard.on_lease_read(lease_object(7), clock.now()).value();
    CHECK(guard.admit(7, reading));
    CHECK(guard.admit(6, reading).error().code == "old_fence");
    CHECK(guard.admit(8, reading).error().code == "old_fence");
    const auto newer = guard.on_lease_read(lease_object(9), clock.now()).value();
    CHECK(guard.admit(9, newer));
    const auto stale = guard.on_lease_read(lease_object(7), clock.now()).value();
    CHECK(guard.admit(7, stale).error().code == "stale_lease_read");
}

// Guards against an order that is completed after a pause between the lease read and its last byte.
TEST_CASE("the check before the last byte fails on a higher fence or an old read") {
    base::manual_clock clock;
    lease::fence_guard guard{clock, 500ms};
    const auto reading = guard.on_lease_read(lease_object(7), clock.now()).value();
    const auto first = guard.admit(7, reading).value();
    clock.advance(499ms);
    CHECK(first());
    clock.advance(1ms);
    CHECK_FALSE(first());
    CHECK(guard.admit(7, reading).error().code == "lease_read_too_old");
    const auto second = guard.admit(7, guard.on_lease_read(lease_object(7), clock.now()).value()).value();
    CHECK(second());
    guard.observe(8);
    CHECK_FALSE(second());
}
