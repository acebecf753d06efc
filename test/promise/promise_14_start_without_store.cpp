#include <csignal>
#include <doctest/doctest.h>

#include "support/site.hpp"

using namespace dotterelstack;
using test::eventually;
using test::within_seconds;

// Guards against an entry that has the newest configuration from its peer and serves nothing, because it started while
// the store is down.
TEST_CASE("promise 14: an entry that starts while the store is down serves with its peer's configuration") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    it.entry(1).signal(SIGKILL);
    REQUIRE(it.entry(1).wait() == -SIGKILL);
    it.store_faults({{"outage", true}});
    const auto fresh = it.start_entry();
    CHECK(eventually([&] { return it.version_of(fresh) >= 1; }, within_seconds));
    CHECK(it.serves(fresh));
}
