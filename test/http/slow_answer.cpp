#include <chrono>
#include <doctest/doctest.h>
#include <string>

#include "http/client.hpp"
#include "http/server.hpp"
#include "http/time_limit.hpp"
#include "support/scripted_server.hpp"
#include "support/tcp_relay.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t answer_bytes = 600 * kibibyte;

/** A server with a large answer behind a link with a rate. */
struct fixture {
    http::server server;
    std::unique_ptr<test::tcp_relay> path;
    http::curl_client client;

    explicit fixture(std::size_t bytes_per_second) {
        auto bound = server.start("127.0.0.1:0", http::answer_with([](const http::request &) {
                                      return http::response{200, {}, std::string(answer_bytes, 'x')};
                                  }));
        REQUIRE(bound);
        path = std::make_unique<test::tcp_relay>(bound.value());
        path->limit_rate(bytes_per_second);
    }

    [[nodiscard]] base::result<http::response> read(base::duration timeout, std::size_t min_receive_rate) {
        http::call_options options;
        options.timeout = timeout;
        options.min_receive_rate = min_receive_rate;
        return client.call(path->address(), {"GET", "/", {}, ""}, options);
    }
};

} // namespace

TEST_CASE("what has been received extends a limit by its time at the lowest rate, and a missing limit stays missing") {
    CHECK(http::time_limit(300ms, 0, 1000) == 300ms);
    CHECK(http::time_limit(300ms, 500, 1000) == 800ms);
    CHECK(http::time_limit(300ms, 500, 0) == 300ms);
    CHECK(http::time_limit(0ms, 500, 1000) == base::duration::max());
}

// Guards against an answer that is thrown away because it takes longer than a silent server is waited for.
TEST_CASE("an answer that keeps coming arrives, although it takes longer than the time-out") {
    fixture it{1000 * kibibyte};
    CHECK_FALSE(it.read(300ms, 0));
    const auto answer = it.read(300ms, 64 * kibibyte);
    REQUIRE(answer);
    CHECK(answer.value().body.size() == answer_bytes);
}

// Guards against waiting without end for an answer that is hardly coming.
TEST_CASE("an answer that comes below the lowest rate is given up") {
    fixture it{100 * kibibyte};
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = it.read(300ms, 1000 * kibibyte);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == "no_answer");
    CHECK(std::chrono::steady_clock::now() - begun < 3s);
}

// Guards against waiting without end for the rest of an answer that has stopped coming.
TEST_CASE("an answer that stops coming is given up, and its error tells how far it has come") {
    test::scripted_server server{[](int, int, const std::string &) {
        return test::scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
                                     test::scripted_answer::then::hold};
    }};
    http::curl_client client;
    http::call_options options;
    options.timeout = 200ms;
    options.min_receive_rate = kibibyte;
    const auto answer = client.call(server.address(), {"GET", "/", {}, ""}, options);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == "no_answer");
    CHECK(answer.error().message.find(" 4 bytes of the answer") != std::string::npos);
}

// Guards against waiting for a server that has gone silent for as long as its answer had taken time until then.
TEST_CASE("an answer that stops coming after much of it has come is given up after the longest silence") {
    const std::string much(answer_bytes, 'x');
    test::scripted_server server{[&much](int, int, const std::string &) {
        return test::scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n" + much,
                                     test::scripted_answer::then::hold};
    }};
    http::curl_client client;
    http::call_options options;
    options.timeout = 200ms;
    options.idle_timeout = 200ms;
    options.min_receive_rate = kibibyte;
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = client.call(server.address(), {"GET", "/", {}, ""}, options);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == "no_answer");
    CHECK(std::chrono::steady_clock::now() - begun < 5s);
}

// Guards against a process that outlives its grace because of an answer that keeps coming.
TEST_CASE("calls end at the instant from which on none are made, whatever they have received") {
    fixture it{200 * kibibyte};
    const base::boottime_clock clock;
    const auto end = clock.now() + 500ms;
    it.client.end_calls_at(end);
    CHECK_FALSE(it.read(300ms, kibibyte));
    CHECK(clock.now() >= end);
    CHECK(clock.now() < end + 1s);
}
