#include "http/pooled_client.hpp"

#include <array>
#include <doctest/doctest.h>
#include <future>
#include <thread>

#include "support/scripted_server.hpp"
#include "support/tcp_relay.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::scripted_answer;
using then = test::scripted_answer::then;

namespace {

/** @return An answer that names a request. */
std::string answer(std::string_view id, std::string_view body, std::string_view more = "") {
    return "HTTP/1.1 200 OK\r\nId: " + std::string{id} + "\r\n" + std::string{more} +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{body};
}

/** @return The id of the request with some text. */
std::string id_in(const std::string &text) {
    const auto at = text.find("Id: ") + 4;
    return text.substr(at, text.find('\r', at) - at);
}

http::answer_owner owner_of(const http::request &sent, const http::field_list &fields) {
    const auto named = http::find_field(fields, "Id");
    if (!named) {
        return http::answer_owner::unnamed;
    }
    return named == http::find_field(sent.fields, "Id") ? http::answer_owner::own : http::answer_owner::other;
}

struct fixture {
    base::boottime_clock time;
    test::scripted_server server;
    http::pooled_client client{time};
    int last{0};

    explicit fixture(test::scripted_server::script what) : server{std::move(what)} { list(server.address(), "a"); }

    void list(const std::string &address, std::string incarnation) {
        client.set_servers(std::array{http::pooled_server{address, std::move(incarnation), 8}});
    }

    /** Makes a call whose id is its number, from 1. */
    base::result<http::response> call(const std::string &address, base::duration timeout = 2s) {
        std::promise<base::result<http::response>> end;
        http::call_options options;
        options.timeout = timeout;
        client.send(address, {"POST", "/", {{"Id", std::to_string(++last)}}, "body"}, options,
                    {{}, [&end](base::result<http::response> it) { end.set_value(std::move(it)); }}, &owner_of);
        return end.get_future().get();
    }
    base::result<http::response> call() { return call(server.address()); }

    [[nodiscard]] std::string body(const base::result<http::response> &it) const {
        return it ? it.value().body : it.error().code;
    }
};

} // namespace

// Guards against a connection for each call.
TEST_CASE("calls one after the other use one connection, with the request and its answer whole") {
    fixture it{[](int, int, const std::string &text) { return scripted_answer{answer(id_in(text), text)}; }};
    for (int n = 1; n < 5; ++n) {
        CHECK(it.body(it.call()) == "POST / HTTP/1.1\r\nHost: " + it.server.address() + "\r\nId: " + std::to_string(n) +
                                        "\r\nContent-Length: 4\r\n\r\nbody");
    }
    CHECK(it.server.connections() == 1);
}

// Guards against reuse where the answer does not show that the connection is clean and stays open.
TEST_CASE("a connection is not kept after an answer that does not permit it") {
    const std::array<scripted_answer, 8> answers{
        scripted_answer{answer("1", "x", "Connection: close\r\n")},
        scripted_answer{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nx", then::close},
        scripted_answer{"HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"},
        scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
        scripted_answer{answer("0", "x")},
        scripted_answer{answer("1", "x") + "H"},
        scripted_answer{answer("1", "x", "Keep-Alive: timeout=0\r\n")},
        scripted_answer{"HTTP/1.1 421 Misdirected\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"},
    };
    for (const auto &first : answers) {
        CAPTURE(first.text);
        fixture it{[&first](int connection, int, const std::string &text) {
            return connection == 0 ? first : scripted_answer{answer(id_in(text), "y")};
        }};
        CHECK(it.body(it.call()) == "x");
        CHECK(it.body(it.call()) == "y");
        CHECK(it.server.connections() == 2);
    }
}

// Guards against the answer to an earlier request, or bytes of none, being taken for an answer.
TEST_CASE("what arrives on a kept connection after its answer is no answer to the next request") {
    fixture it{[](int connection, int, const std::string &text) {
        return connection == 0 ? scripted_answer{answer("1", "x"), then::keep, answer("1", "late")}
                               : scripted_answer{answer(id_in(text), "y")};
    }};
    CHECK(it.body(it.call()) == "x");
    std::this_thread::sleep_for(100ms);
    CHECK(it.body(it.call()) == "y");
    CHECK(it.server.connections() == 2);
}

// Guards against a failure, or another caller's answer, where an extra answer arrives in place of the expected one.
TEST_CASE("an extra answer that arrives after the next request is skipped, and its connection is not kept") {
    fixture it{[](int connection, int request, const std::string &text) {
        const auto own = answer(id_in(text), "own" + std::to_string(connection));
        return scripted_answer{request == 1 ? answer("1", "extra") + own : own};
    }};
    CHECK(it.body(it.call()) == "own0");
    CHECK(it.body(it.call()) == "own0");
    CHECK(it.body(it.call()) == "own1");
}

// Guards against an answer without a name on a kept connection, which may belong to an earlier request.
TEST_CASE("an unnamed answer on a kept connection ends the call as unknown") {
    fixture it{[](int, int request, const std::string &text) {
        return scripted_answer{request == 0 ? answer(id_in(text), "x")
                                            : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz"};
    }};
    REQUIRE(it.call());
    const auto second = it.call();
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == base::error_kind::unknown_outcome);
}

// Guards against calls on connections that the server closed while they were idle.
TEST_CASE("a connection that the server closed while idle costs no call") {
    fixture it{[](int, int, const std::string &text) { return scripted_answer{answer(id_in(text), "x")}; }};
    REQUIRE(it.call());
    it.server.close_open();
    std::this_thread::sleep_for(50ms);
    CHECK(it.call());
    CHECK(it.server.connections() == 2);
    CHECK(it.client.counts().reuse_failed == 0);
}

// Guards against a request that is sent twice, and against further losses on other kept connections.
TEST_CASE("a call that is reset on a kept connection is not repeated, and the next one uses a new one") {
    fixture it{[](int connection, int request, const std::string &text) {
        return connection == 0 && request == 1 ? scripted_answer{"", then::reset}
                                               : scripted_answer{answer(id_in(text), "x")};
    }};
    REQUIRE(it.call());
    const auto lost = it.call();
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == base::error_kind::unknown_outcome);
    CHECK(it.server.requests() == 2);
    CHECK(it.call());
    CHECK(it.server.requests() == 3);
    CHECK(it.server.connections() == 2);
}

// Guards against calls that fail one after the other, each on another connection that went silent.
TEST_CASE("after a call without answer the other kept connections to the server are not used") {
    fixture it{[](int, int, const std::string &text) { return scripted_answer{answer(id_in(text), "x")}; }};
    test::tcp_relay path{it.server.address()};
    it.list(path.address(), "a");
    REQUIRE(it.call(path.address()));
    path.silence_open();
    const auto lost = it.call(path.address(), 100ms);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().code == "no_answer");
    CHECK(it.call(path.address()));
    CHECK(path.accepted() == 2);
}

// Guards against a request on a connection to a server whose address another one has got.
TEST_CASE("a replaced server gets new connections") {
    fixture it{[](int, int, const std::string &text) { return scripted_answer{answer(id_in(text), "x")}; }};
    REQUIRE(it.call());
    it.list(it.server.address(), "b");
    CHECK(it.call());
    CHECK(it.server.connections() == 2);
}

// Guards against the rest of a stream that was broken off being read as the next answer.
TEST_CASE("the connection of a cancelled stream is closed") {
    const std::string head{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"};
    fixture it{[&head](int connection, int, const std::string &text) {
        return connection == 0 ? scripted_answer{head, then::keep, "1\r\nb\r\n0\r\n\r\n"}
                               : scripted_answer{answer(id_in(text), "x")};
    }};
    std::promise<void> begun;
    std::promise<std::string> end;
    const auto id = it.client.send(
        it.server.address(), {"GET", "/", {{"Id", std::to_string(++it.last)}}, ""}, {},
        {[&begun](std::string_view) {
             begun.set_value();
             return true;
         },
         [&end](const base::result<http::response> &answer) { end.set_value(answer ? "ok" : answer.error().code); }},
        &owner_of);
    begun.get_future().wait();
    it.client.cancel(id);
    CHECK(end.get_future().get() == "cancelled");
    CHECK(it.body(it.call()) == "x");
    CHECK(it.server.connections() == 2);
}

// Guards against an answer that was cut off being taken for whole.
TEST_CASE("answers that break off are incomplete") {
    for (const auto &first :
         {scripted_answer{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nx", then::close},
          scripted_answer{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nx", then::reset},
          scripted_answer{"HTTP/1.1 200 OK\r\nId", then::close}, scripted_answer{"", then::close}}) {
        CAPTURE(first.text);
        fixture it{[&first](int, int, const std::string &) { return first; }};
        const auto lost = it.call();
        REQUIRE_FALSE(lost);
        CHECK(lost.error().kind == base::error_kind::unknown_outcome);
    }
}

// Guards against "may have run" for a request that was never sent.
TEST_CASE("a call to an address where nothing listens is unavailable") {
    fixture it{[](int, int, const std::string &) { return scripted_answer{}; }};
    const auto lost = it.call("127.0.0.1:1");
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == base::error_kind::unavailable);
}
