#include "http/async_client.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <future>

#include "http/server.hpp"

using namespace dotterelstack;

// Guards against transfers that block each other on the shared thread, and against cancels that are ignored.
TEST_CASE("transfers run side by side and can be cancelled") {
    http::server server;
    std::promise<http::exchange> held;
    auto bound = server.start("127.0.0.1:0", [&held](const http::exchange &call) {
        if (call.message().path() == "/held") {
            call.start(200, {});
            (void)call.write("a");
            held.set_value(call);
        } else {
            call.respond({200, {}, "quick"});
        }
    });
    REQUIRE(bound);
    http::async_client client;
    std::promise<std::string> slow;
    std::promise<void> first_part;
    const auto id = client.send(
        bound.value(), {"GET", "/held", {}, ""}, {},
        {[&first_part](std::string_view) {
             first_part.set_value();
             return true;
         },
         [&slow](const base::result<http::response> &answer) { slow.set_value(answer ? "ok" : answer.error().code); }});
    first_part.get_future().wait();
    std::promise<std::string> quick;
    client.send(bound.value(), {"GET", "/quick", {}, ""}, {},
                {{}, [&quick](const base::result<http::response> &answer) { quick.set_value(answer.value().body); }});
    CHECK(quick.get_future().get() == "quick");
    client.cancel(id);
    CHECK(slow.get_future().get() == "cancelled");
    client.stop();
}
