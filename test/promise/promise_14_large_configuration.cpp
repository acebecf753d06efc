#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;

namespace {

// Of a large site: rules with a time bound hold from so long after the last fault.
constexpr auto contact_time = 4s;
constexpr int large_site_routes = 1400;
// 10 Mbit/s.
constexpr std::size_t slow_link = 1'250'000;

/** A gateway that reaches the store through a limited link, and no other gateway. */
struct fixture : test::forward_site {
    std::vector<std::string> keys{"key-1"};

    explicit fixture(std::size_t link) {
        set_idle_routes(large_site_routes);
        configure(keys);
        start_runner("desk-1", "");
        start_gateway(0);
        store_path(0).limit_rate(link);
        REQUIRE(eventually([this] { return serves_newest(); }));
    }

    void change() {
        keys = {"key-1", "key-" + std::to_string(++changes_)};
        configure(keys);
    }

    [[nodiscard]] bool serves_newest() const { return send(0, "read", "probe", keys.back()).status == 200; }

private:
    int changes_{1};
};

} // namespace

// Guards against a gateway that never catches up, because all versions since it was cut off don't fit through its link
// within the time-out of one call, which is made again from the same position.
TEST_CASE("promise 14: a gateway that missed versions of a large configuration has the newest one in time") {
    for (const int missed : {1, 6, 12}) {
        CAPTURE(missed);
        fixture it{slow_link};
        it.store_path(0).refuse_all();
        for (int n = 0; n < missed; ++n) {
            it.change();
        }
        it.store_path(0).pass_new();
        CHECK(eventually([&it] { return it.serves_newest(); }, contact_time));
        CHECK(it.ready(0));
    }
}

// Guards against a configuration that never arrives because it alone takes longer than the time-out of one call.
TEST_CASE("promise 14: a gateway reads a configuration that takes its link longer than the time-out of a call") {
    constexpr std::size_t very_slow_link = 160'000;
    fixture it{very_slow_link};
    it.change();
    CHECK(eventually([&it] { return it.serves_newest(); }, contact_time));
}
