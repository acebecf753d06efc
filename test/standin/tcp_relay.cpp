#include "support/tcp_relay.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

#include "http/client.hpp"
#include "http/server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** A server that counts calls, behind a relay. */
struct fixture {
    std::atomic<int> calls{0};
    http::server server;
    std::string bound{server
                          .start("127.0.0.1:0", http::answer_with([this](const http::request &message) {
                                     ++calls;
                                     return http::response{200, {}, message.body};
                                 }))
                          .value()};
    test::tcp_relay relay{bound};
    http::curl_client client;

    base::result<http::response> call(const std::string &body = "x") {
        return client.call(relay.address(), {"POST", "/", {}, body}, {.timeout = 300ms});
    }

    /** A call on the kept connection; only idempotent methods reuse one. */
    base::result<http::response> call_on_kept_connection() {
        return client.call(relay.address(), {"GET", "/", {}, ""}, {.timeout = 300ms});
    }
};

} // namespace

// Guards against a relay that loses or reorders bytes of a large body.
TEST_CASE("the relay passes large bodies both ways") {
    fixture it;
    std::string body;
    for (int n = 0; body.size() < 3000000; ++n) {
        body += std::to_string(n) + ' ';
    }
    const auto answer = it.client.call(it.relay.address(), {"POST", "/", {}, body}, {});
    REQUIRE(answer);
    CHECK(answer.value().body == body);
    CHECK(it.relay.accepted() == 1);
}

// Guards against silence that closes the connection, which a peer would notice too easily.
TEST_CASE("open connections go silent for good while new ones work") {
    fixture it;
    REQUIRE(it.call_on_kept_connection());
    it.relay.silence_open();
    const auto silent = it.call_on_kept_connection();
    REQUIRE_FALSE(silent);
    CHECK(silent.error().kind == base::error_kind::unknown_outcome);
    CHECK(it.calls == 1);
    REQUIRE(it.call_on_kept_connection());
    CHECK(it.calls == 2);
    CHECK(it.relay.accepted() == 2);
}

// Guards against new connections that escape a partition, and against bytes that are lost when it ends.
TEST_CASE("all connections are silent until released, then kept bytes arrive") {
    fixture it;
    it.relay.silence_all();
    REQUIRE_FALSE(it.call());
    CHECK(it.relay.open() == 1);
    CHECK(it.calls == 0);
    it.relay.release();
    for (int n = 0; n < 200 && it.calls == 0; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(it.calls == 1);
    it.relay.silence_all();
    REQUIRE_FALSE(it.call());
    it.relay.pass_new();
    REQUIRE(it.call());
    CHECK(it.calls == 2);
}

// Guards against a one-way fault that also stops the other way.
TEST_CASE("responses can be held while requests pass") {
    fixture it;
    it.relay.silence_all(test::direction::to_caller);
    REQUIRE_FALSE(it.call());
    CHECK(it.calls == 1);
}

// Guards against connections that survive a cut, and against refused ones that look accepted.
TEST_CASE("cut connections are reset, refused ones too") {
    fixture it;
    it.relay.silence_all();
    std::thread cutter{[&it] {
        std::this_thread::sleep_for(50ms);
        it.relay.cut();
    }};
    auto begin = std::chrono::steady_clock::now();
    CHECK_FALSE(it.call());
    CHECK(std::chrono::steady_clock::now() - begin < 250ms);
    cutter.join();
    CHECK(it.relay.open() == 0);
    it.relay.pass_new();
    CHECK(it.call());
    it.relay.refuse_all();
    begin = std::chrono::steady_clock::now();
    CHECK_FALSE(it.call());
    CHECK(std::chrono::steady_clock::now() - begin < 250ms);
    it.relay.pass_new();
    CHECK(it.call());
}

// Guards against a relay that hides the end of a server from callers.
TEST_CASE("a target that does not listen resets the caller") {
    fixture it;
    it.server.stop();
    CHECK_FALSE(it.call());
    CHECK(it.relay.open() == 0);
}
