#include <doctest/doctest.h>
#include <thread>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;

// Guards against a gateway that stays with an older configuration, because the store has come back from a copy and has
// given out again the revision from which the gateway watches.
TEST_CASE("promise 14: a configuration confirmed after the store's return from a copy is in force within two seconds") {
    test::forward_site it;
    it.configure({"key-1"});
    it.start_runner("desk-1", "");
    it.start_gateway(0);
    REQUIRE(eventually([&it] { return it.send(0, "read", "probe").status == 200; }));
    CHECK(it.send(0, "read", "early", "key-2").status == 401);
    it.copy_store();
    // Two watches end, so that the gateway watches from a revision beyond the copy.
    std::this_thread::sleep_for(4s);
    it.restore_store({"key-1", "key-2"});
    CHECK(eventually([&it] { return it.send(0, "read", "later", "key-2").status == 200; }, 2s));
}
