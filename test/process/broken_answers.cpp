#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <string>

#include "support/forward_site.hpp"
#include "support/scripted_server.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using test::eventually;
using test::scripted_answer;
using then = test::scripted_answer::then;

namespace {

/** @return Value of a field in the text of a request. */
std::string field_in(const std::string &text, const std::string &name) {
    const auto at = text.find(name + ": ") + name.size() + 2;
    return text.substr(at, text.find('\r', at) - at);
}

struct broken_head {
    std::string status_line;
    std::string further_line;
};

/** A gateway before one server, which gives sound answers until the test has it break them. */
struct fixture {
    std::mutex mutex;
    std::string status_line;  /**< Of the answers. */
    std::string further_line; /**< In the head of the answers. */
    test::forward_site site;
    test::scripted_server server{[this](int, int, const std::string &text) { return answer(text); }};

    /** @param max_connections Of the service; 0 has libcurl read the answers. */
    explicit fixture(int max_connections) {
        set_answer("HTTP/1.1 200 OK", "");
        site.set_max_connections(max_connections);
        site.configure({"key-1"});
        site.register_server("raw-1", server.address());
        site.start_gateway(0);
        REQUIRE(eventually([this] { return send("read").status == 200; }));
    }

    void set_answer(std::string status, std::string further) {
        const std::scoped_lock lock{mutex};
        status_line = std::move(status);
        further_line = std::move(further);
    }

    scripted_answer answer(const std::string &text) {
        const std::scoped_lock lock{mutex};
        return {status_line + "\r\nResponse-Signature: raw-1\r\nAttempt-Id: " + field_in(text, "Attempt-Id") + "\r\n" +
                further_line + "Content-Length: 5\r\n\r\nhello"};
    }

    test::forward_reply send(const std::string &kind) {
        site.register_server("raw-1", server.address());
        return site.send(0, kind, kind + std::to_string(++sent_));
    }

private:
    int sent_{0};
};

} // namespace

// Guards against a broken answer that a client gets as an answer, and against a booking that is sent again after it or
// called not run.
TEST_CASE("a broken answer of a server becomes a truthful refusal, through both clients of a gateway") {
    for (const int max_connections : {0, 8}) {
        CAPTURE(max_connections);
        fixture it{max_connections};
        for (const auto &broken : std::vector<broken_head>{{"HTTP/1.1 000 OK", ""},
                                                           {"HTTP/1.1 099 OK", ""},
                                                           {"HTTP/1.1 2000 OK", ""},
                                                           {"HTTP/1.1 200 OK", "Bad Name: x\r\n"},
                                                           {"HTTP/1.1 200 OK", "Name\t: x\r\n"},
                                                           {"HTTP/1.1 200 OK", "Na\x01me: x\r\n"},
                                                           {"HTTP/1.1 200 OK", "Content-Length : 2\r\n"},
                                                           {"HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n"}}) {
            CAPTURE(broken.status_line);
            CAPTURE(broken.further_line);
            it.set_answer("HTTP/1.1 200 OK", "");
            REQUIRE(eventually([&it] { return it.send("read").status == 200; }));
            it.set_answer(broken.status_line, broken.further_line);
            const auto before = it.server.requests();
            const auto booking = it.send("book");
            CHECK(booking.status == 502);
            CHECK(booking.body.find(R"("ran":"unknown")") != std::string::npos);
            CHECK(it.server.requests() == before + 1);
            CHECK(it.send("read").status >= 500);
        }
    }
}
