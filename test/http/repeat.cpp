#include <atomic>
#include <doctest/doctest.h>

#include "http/client.hpp"
#include "http/server.hpp"

using namespace dotterelstack;

// Guards against a call that runs twice because libcurl repeats it by itself when a reused connection ends.
TEST_CASE("a call whose answer is lost on a reused connection is not repeated") {
    for (const std::string method : {"POST", "PUT", "DELETE"}) {
        for (const std::string body : {"", "x"}) {
            CAPTURE(method);
            CAPTURE(body);
            std::atomic<int> runs{0};
            http::server server;
            auto bound = server.start("127.0.0.1:0", [&runs](const http::exchange &call) {
                if (++runs == 2) {
                    call.abort();
                } else {
                    call.respond({200, {}, ""});
                }
            });
            REQUIRE(bound);
            http::curl_client client;
            REQUIRE(client.call(bound.value(), {method, "/", {}, body}, {}));
            const auto lost = client.call(bound.value(), {method, "/", {}, body}, {});
            REQUIRE(runs == 2);
            REQUIRE_FALSE(lost);
            CHECK(lost.error().kind == base::error_kind::unknown_outcome);
        }
    }
}

// Guards against "not reached" for a call that a server received before it ended: the repetition finds it gone.
TEST_CASE("a call that was received by a server that then ends is unknown") {
    std::atomic<int> runs{0};
    http::curl_client client;
    http::server server;
    auto bound = server.start("127.0.0.1:0", [&](const http::exchange &call) {
        if (++runs == 2) {
            server.quiesce();
            call.abort();
        } else {
            call.respond({200, {}, ""});
        }
    });
    REQUIRE(bound);
    REQUIRE(client.call(bound.value(), {"POST", "/", {}, "x"}, {}));
    const auto lost = client.call(bound.value(), {"POST", "/", {}, "x"}, {});
    REQUIRE_FALSE(lost);
    CHECK(runs == 2);
    CHECK(lost.error().kind == base::error_kind::unknown_outcome);
}
