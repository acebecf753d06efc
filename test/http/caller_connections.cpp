#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "http/server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** One connection of a caller, kept open. */
class caller {
public:
    explicit caller(const std::string &address) : fd_{::socket(AF_INET, SOCK_STREAM, 0)} {
        const auto colon = address.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        const timeval limit{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
    }
    caller(const caller &) = delete;
    caller &operator=(const caller &) = delete;
    caller(caller &&) = delete;
    caller &operator=(caller &&) = delete;
    ~caller() { ::close(fd_); }

    void send(const std::string &bytes) const {
        CHECK(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    /** @return The next bytes that arrive within a second; nothing at the end of the connection. */
    [[nodiscard]] std::string receive() const {
        std::array<char, 4096> buf{};
        const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
        return n > 0 ? std::string{buf.data(), static_cast<std::size_t>(n)} : std::string{};
    }

    [[nodiscard]] bool served() const {
        send(request);
        return receive().starts_with("HTTP/1.1 200");
    }

    [[nodiscard]] bool closed() const {
        std::array<char, 1> buf{};
        return ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT) == 0;
    }

private:
    const int fd_;
};

/** @return True once there is room. A connection is idle only a moment after its caller has the answer. */
bool has_room_soon(const http::server &server) {
    for (int n = 0; n < 500 && !server.has_room(); ++n) {
        std::this_thread::sleep_for(10ms);
    }
    return server.has_room();
}

struct fixture {
    http::server server;
    std::string address;

    explicit fixture(http::server_limits limits = {}) {
        auto bound = server.start("127.0.0.1:0", http::answer_with([](const auto &) {
                                      return http::response{200, {}, "ok"};
                                  }),
                                  limits);
        REQUIRE(bound);
        address = bound.value();
    }

    [[nodiscard]] bool closes(const caller &it) {
        for (int n = 0; n < 100 && !it.closed(); ++n) {
            std::this_thread::sleep_for(20ms);
            server.close_overdue();
        }
        return it.closed();
    }
};

} // namespace

// Guards against idle callers that keep all new ones out of a server (review/4).
TEST_CASE("at the limit of connections those that have been idle for longest make room for new callers") {
    fixture it{{.connections = 64}};
    std::vector<std::unique_ptr<caller>> open;
    open.reserve(300);
    for (int n = 0; n < 300; ++n) {
        CAPTURE(n);
        open.push_back(std::make_unique<caller>(it.address));
        REQUIRE(open.back()->served());
    }
    CHECK(it.server.connections() <= 64);
    CHECK(it.server.has_room());
    CHECK(it.server.closed().for_room >= 236);
    CHECK(open[0]->closed());
    CHECK(open[200]->closed());
    CHECK_FALSE(open[299]->closed());
    CHECK(open[298]->served());
}

// Guards against room that is made by cutting off callers who wait for their answer.
TEST_CASE("connections with a request are not closed to make room") {
    std::vector<http::exchange> held;
    std::mutex mutex;
    http::server server;
    const auto bound = server.start("127.0.0.1:0",
                                    [&](const http::exchange &call) {
                                        const std::scoped_lock lock{mutex};
                                        held.push_back(call);
                                    },
                                    {.connections = 16});
    REQUIRE(bound);
    std::vector<std::unique_ptr<caller>> open;
    open.reserve(16);
    for (int n = 0; n < 16; ++n) {
        open.push_back(std::make_unique<caller>(bound.value()));
        open.back()->send(request);
    }
    for (int n = 0; n < 100 && server.active() < 16; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(server.active() == 16);
    CHECK_FALSE(server.has_room());
    const caller waiting{bound.value()};
    waiting.send(request);
    std::this_thread::sleep_for(100ms);
    {
        const std::scoped_lock lock{mutex};
        for (const auto &call : held) {
            call.respond({200, {}, "done"});
        }
    }
    for (const auto &one : open) {
        CHECK(one->receive().find("done") != std::string::npos);
    }
    // The one that waited is handled once an idle one has made room for it.
    const auto handled = [&] {
        const std::scoped_lock lock{mutex};
        return held.size();
    };
    for (int n = 0; n < 500 && handled() < 17; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(handled() == 17);
    CHECK(has_room_soon(server));
    const std::scoped_lock lock{mutex};
    held.back().respond({200, {}, "late"});
    CHECK(waiting.receive().find("late") != std::string::npos);
    held.clear();
}

// Guards against connections that are all closed to make room for one, because each of them is still counted while the
// others close; the listener then has no room although nobody uses it.
TEST_CASE("no more connections are closed than it takes to make room") {
    constexpr std::size_t most = 16;
    std::vector<http::exchange> held;
    std::mutex mutex;
    http::server server;
    const auto bound = server.start("127.0.0.1:0",
                                    [&](const http::exchange &call) {
                                        const std::scoped_lock lock{mutex};
                                        held.push_back(call);
                                    },
                                    {.connections = most});
    REQUIRE(bound);
    std::vector<std::unique_ptr<caller>> open;
    open.reserve(most);
    for (std::size_t n = 0; n < most; ++n) {
        open.push_back(std::make_unique<caller>(bound.value()));
        open.back()->send(request);
    }
    for (int n = 0; n < 500 && server.active() < most; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(server.active() == most);
    {
        const std::scoped_lock lock{mutex};
        for (const auto &call : held) {
            call.respond({200, {}, "done"});
        }
        held.clear();
    }
    for (const auto &one : open) {
        CHECK(one->receive().find("done") != std::string::npos);
    }
    CHECK(has_room_soon(server));
    // The last of them are idle a moment after their callers have the answers.
    std::this_thread::sleep_for(300ms);
    CHECK(server.closed().for_room == 1);
}

// Guards against limits that hold only for connections opened after a change, and against closing too early.
TEST_CASE("idle connections are closed after the limit, which may change while they are open") {
    fixture it;
    const caller used{it.address};
    const caller silent{it.address};
    CHECK(used.served());
    it.server.close_overdue();
    std::this_thread::sleep_for(300ms);
    it.server.close_overdue();
    CHECK(used.served());
    CHECK_FALSE(silent.closed());
    it.server.set_limits({.idle_timeout = 600ms});
    CHECK(it.closes(silent));
    CHECK(used.served());
    CHECK(it.closes(used));
    CHECK(it.server.closed().idle == 2);
}

// Guards against callers that send a head byte by byte and keep a connection for it.
TEST_CASE("a head that takes longer than the limit is cut off") {
    fixture it;
    it.server.set_limits({.header_timeout = 300ms, .idle_timeout = 10s});
    const caller slow{it.address};
    slow.send("GET /x HTTP/1.1\r\nHost: ");
    std::this_thread::sleep_for(100ms);
    slow.send("a");
    CHECK(it.closes(slow));
    CHECK(it.server.closed().slow == 1);
}

// Guards against limits of the configuration that are read and then not used.
TEST_CASE("heads and bodies over the limits are refused with 431 and 413") {
    fixture it;
    it.server.set_limits({.header_bytes = 200, .body_bytes = 10});
    const caller with_fields{it.address};
    with_fields.send("GET /x HTTP/1.1\r\nHost: a\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    CHECK(with_fields.receive().starts_with("HTTP/1.1 431"));
    const caller with_body{it.address};
    with_body.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901");
    CHECK(with_body.receive().starts_with("HTTP/1.1 413"));
    const caller within{it.address};
    CHECK(within.served());
}

// Guards against a request inside a body that another reader finds, and against targets that no client library sends
// on.
TEST_CASE("fields with a blank before the colon and targets with other characters than printable ASCII are refused") {
    fixture it;
    for (const std::string head :
         {"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nGET ",
          "POST /x HTTP/1.1\r\nHost: a\r\nX-Y\t: 4\r\n\r\n", "GET /x\x01y HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /x\x7f HTTP/1.1\r\nHost: a\r\n\r\n"}) {
        CAPTURE(head);
        const caller one{it.address};
        one.send(head);
        CHECK(one.receive().starts_with("HTTP/1.1 400"));
    }
    const caller one{it.address};
    one.send("GET /%C3%A9?q=~%01 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(one.receive().starts_with("HTTP/1.1 200"));
}

// Guards against memory that grows with the number of large bodies, each of them within the limit.
TEST_CASE("a body for which there is no room is refused as not run, and smaller requests are served") {
    base::byte_budget budget{std::size_t{250} << 10U};
    fixture it{{.budget = &budget}};
    const std::string body(std::size_t{200} << 10U, 'x');
    const std::string head =
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const caller first{it.address};
    first.send(head + body.substr(1));
    // The head is held before the body, and a second body that comes in between would be the one that there is room
    // for.
    for (int n = 0; n < 100 && budget.used() < body.size(); ++n) {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(budget.used() >= body.size());
    const caller second{it.address};
    second.send(head + body);
    const auto refused = second.receive();
    CAPTURE(refused);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1") != std::string::npos);
    const caller small{it.address};
    CHECK(small.served());
    first.send("x");
    CHECK(first.receive().starts_with("HTTP/1.1 200"));
    for (int n = 0; n < 100 && budget.used() > 0; ++n) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(budget.used() == 0);
}
