#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;

namespace {

// From the store's acknowledgement that a server drains until it gets nothing new; the gateways' default.
constexpr auto drain_time = 2s;
constexpr std::size_t gateway_count = 2;
constexpr int requests = 40;

} // namespace

// Guards against one entry of another writer that makes the list of servers unreadable: servers that leave go on
// getting requests, and new ones get none (review/3, other forms).
TEST_CASE("promise 19: an entry that cannot be read hides no change of the other servers") {
    for (const std::string &value : {std::string{R"({"ColdRemainingMs":1e999})"}, std::string{"{\"Zone\":\"a\x01\"}"},
                                     std::string{"{Service: desk"}, R"({"Slots":)" + std::string(400'000, '9') + "}"}) {
        CAPTURE(value.substr(0, 40));
        test::forward_site it;
        it.configure({"key-1"});
        it.start_runner("desk-1", "", {"--leave-ms", "20000"});
        it.start_runner("desk-2", "", {"--leave-ms", "20000"});
        for (std::size_t n = 0; n < gateway_count; ++n) {
            it.start_gateway(n);
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            REQUIRE(eventually([&it, n] { return it.send(n, "book", "probe").status == 200; }));
        }
        it.write_foreign("servers/printer-7", value);
        std::this_thread::sleep_for(500ms);
        it.start_runner("desk-3", "");
        it.runner("desk-1").signal(SIGTERM);
        it.runner("desk-2").signal(SIGTERM);
        std::this_thread::sleep_for(drain_time + 1s);
        const auto released = [&it] { return it.arrivals("desk-1") + it.arrivals("desk-2"); };
        const auto before = released();
        const auto book_all = [&it](const std::string &name) {
            int served = 0;
            for (int n = 0; n < requests; ++n) {
                const auto id = name + std::to_string(n);
                served += it.send(static_cast<std::size_t>(n) % gateway_count, "book", id).status == 200 ? 1 : 0;
            }
            return served;
        };
        CHECK(book_all("after") == requests);
        // A gateway that starts has only the list, not the changes before it.
        it.gateway(0).signal(SIGKILL);
        it.start_gateway(0);
        REQUIRE(eventually([&it] { return it.ready(0); }));
        CHECK(book_all("restarted") == requests);
        CHECK(released() == before);
    }
}
