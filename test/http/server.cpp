#include "http/server.hpp"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "http/client.hpp"

using namespace dotterelstack;

namespace {

struct fixture {
    http::server server;
    http::curl_client client;
    std::string address;

    void serve(http::request_handler handler) {
        auto bound = server.start("127.0.0.1:0", std::move(handler));
        REQUIRE(bound);
        address = bound.value();
    }
};

} // namespace

// Guards against lost bodies and query parameters.
TEST_CASE("a request reaches the handler with body, fields and query") {
    fixture it;
    it.serve(http::answer_with([](const http::request &message) {
        const std::string text = message.method + " " + std::string{message.path()} + " " +
                                 message.query_value("q").value_or("") + " " + message.body + " " +
                                 std::string{http::find_field(message.fields, "x-a").value_or("")};
        return http::response{200, {{"Content-Type", "text/plain"}}, text};
    }));
    const auto answer = it.client.call(it.address, {"POST", "/a/b?q=1%202", {{"X-A", "z"}}, "body"}, {});
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body == "POST /a/b 1 2 body z");
}

// Guards against a streamed body that ends before its last part, or that is reported complete when broken off.
TEST_CASE("streams arrive whole, broken streams are errors") {
    fixture it;
    std::vector<std::thread> workers;
    it.serve([&workers](const http::exchange &call) {
        workers.emplace_back([call] {
            call.start(200, {});
            for (int n = 0; n < 5; ++n) {
                CHECK(call.write("part" + std::to_string(n) + ";"));
                std::this_thread::sleep_for(std::chrono::milliseconds{2});
            }
            if (call.message().path() == "/broken") {
                call.abort();
            } else {
                call.finish();
            }
        });
    });
    std::string got;
    const auto sink = [&got](std::string_view part) {
        got += part;
        return true;
    };
    CHECK(it.client.stream(it.address, {"GET", "/whole", {}, ""}, {}, sink));
    CHECK(got == "part0;part1;part2;part3;part4;");
    const auto broken = it.client.stream(it.address, {"GET", "/broken", {}, ""}, {}, sink);
    REQUIRE_FALSE(broken);
    CHECK(broken.error().kind == base::error_kind::unknown_outcome);
    for (auto &worker : workers) {
        worker.join();
    }
}

// Guards against an order that is completed although its sender lost its authority.
TEST_CASE("a failed final check leaves the request incomplete") {
    fixture it;
    std::atomic<int> handled{0};
    it.serve(http::answer_with([&handled](const http::request &) {
        ++handled;
        return http::response{200, {}, "done"};
    }));
    const http::request order{"POST", "/order", {}, "{\"a\":1}"};
    const auto stopped = it.client.call_checked(it.address, order, {}, [] { return false; });
    REQUIRE_FALSE(stopped);
    CHECK(stopped.error().kind == base::error_kind::refused);
    CHECK(handled == 0);
    CHECK(it.client.call_checked(it.address, order, {}, [] { return true; }));
    CHECK(handled == 1);
}

// Guards against calling something "unknown" that certainly did not run, and the other way round.
TEST_CASE("an unreachable server is unavailable, a dropped request is unknown") {
    fixture it;
    CHECK(it.client.call("127.0.0.1:1", {"GET", "/", {}, ""}, {}).error().kind == base::error_kind::unavailable);
    it.serve([](const http::exchange &call) { call.abort(); });
    const auto answer = it.client.call(it.address, {"POST", "/", {}, "x"}, {});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == base::error_kind::unknown_outcome);
}

// Guards against unbounded request bodies.
TEST_CASE("a body over the limit is refused with 413") {
    fixture it;
    auto bound = it.server.start("127.0.0.1:0", http::answer_with([](const http::request &) {
                                     return http::response{200, {}, ""};
                                 }),
                                 http::server_limits{.body_bytes = 10});
    REQUIRE(bound);
    const auto answer = it.client.call(bound.value(), {"POST", "/", {}, "12345678901"}, {});
    REQUIRE(answer);
    CHECK(answer.value().status == 413);
}

namespace {

/** Sends bytes as they are and reads until the other side closes or says nothing for a while. */
std::string exchange_bytes(const std::string &address, const std::string &bytes) {
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    std::string out;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = ::recv(fd, buf.data(), buf.size(), 0)) > 0;) {
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
    ::close(fd);
    return out;
}

} // namespace

// Guards against a second request hidden in the body of the first: two readers that disagree about its end.
TEST_CASE("requests whose end or host is ambiguous are rejected and not handled") {
    fixture it;
    std::atomic<int> handled{0};
    it.serve(http::answer_with([&handled](const http::request &) {
        ++handled;
        return http::response{200, {}, "done"};
    }));
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> heads{"Host: a\r\nContent-Length: " + std::to_string(hidden.size()) +
                                             "\r\nTransfer-Encoding: chunked\r\n",
                                         "Host: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
                                         "Content-Length: 0\r\n", "Host: a\r\nHost: b\r\nContent-Length: 0\r\n"};
    for (const auto &head : heads) {
        std::string bytes = "POST /x HTTP/1.1\r\n";
        bytes.append(head).append("\r\n0\r\n\r\n").append(hidden);
        const auto answer = exchange_bytes(it.address, bytes);
        CHECK(answer.starts_with("HTTP/1.1 400"));
    }
    CHECK(handled == 0);
}

// Guards against work that goes on for callers who have left while they wait.
TEST_CASE("a caller that closes while it waits is noticed") {
    fixture it;
    std::mutex mutex;
    std::optional<http::exchange> open;
    it.serve([&](const http::exchange &call) {
        const std::scoped_lock lock{mutex};
        open = call;
    });
    const http::call_options options{.timeout = std::chrono::milliseconds{200}};
    CHECK_FALSE(it.client.call(it.address, {"GET", "/", {}, ""}, options));
    const std::scoped_lock lock{mutex};
    REQUIRE(open);
    bool gone = false;
    for (int n = 0; n < 100 && !gone; ++n) {
        gone = open->caller_gone();
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    CHECK(gone);
    open.reset();
}
