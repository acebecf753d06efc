#include <atomic>
#include <doctest/doctest.h>
#include <string>

#include "agent/agent_daemon.hpp"
#include "http/client.hpp"
#include "support/scripted_server.hpp"
#include "transport/h2_client.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::scripted_answer;

namespace {

class no_orders final : public agent::order_handler {
public:
    [[nodiscard]] http::response handle(const http::request & /*order*/) override { return {503, {}, ""}; }
};

/** An agent before one server whose answers to other requests than those of the load poller are given. */
struct fixture {
    std::string text;
    std::atomic<int> runs{0};
    test::scripted_server server{[this](int, int, const std::string &request) {
        if (!request.starts_with("POST /it")) {
            return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
        }
        ++runs;
        return scripted_answer{text, scripted_answer::then::close};
    }};
    base::boottime_clock clock;
    http::curl_client client;
    no_orders orders;
    agent::agent_daemon daemon;
    transport::event_loop loop;
    transport::h2_client entry{loop, clock};
    std::string address;

    fixture(std::string answer, agent::backend_kind kind)
        : text{std::move(answer)}, daemon{options(server.address(), kind), clock, "i", client, orders} {
        auto bound = daemon.start();
        REQUIRE(bound);
        address = bound.value();
    }

    static agent::agent_options options(const std::string &server, agent::backend_kind kind) {
        agent::agent_options out;
        out.host = "host";
        out.listen = "127.0.0.1:0";
        out.load_poll_interval = 1h;
        out.backends.push_back({"b", "s", kind, server, {}, false});
        return out;
    }

    base::result<http::response> run(std::string kind) {
        return entry.call(address,
                          {"POST",
                           "/run",
                           {{"ds-request", "r"},
                            {"ds-attempt", "1"},
                            {"ds-incarnation", "i"},
                            {"ds-backend", "b"},
                            {"ds-kind", std::move(kind)},
                            {"ds-method", "POST"},
                            {"ds-path", "/it"}},
                           "{}"},
                          5s);
    }
};

const std::string chunked_head{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};

} // namespace

// Guards against a broken answer of a service that its agent passes on, or calls not run.
TEST_CASE("a broken answer of a service is one that may have run") {
    for (const auto &text :
         {std::string{"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello"},
          std::string{"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 5\r\n\r\nhello"},
          std::string{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello"}, chunked_head + "5\r\nhello\r\n",
          chunked_head + "5\r\nhello\r\n0\r\nBad Name: x\r\n\r\n"}) {
        CAPTURE(text);
        fixture it{text, agent::backend_kind::plain};
        const auto answer = it.run("call");
        REQUIRE(answer);
        CHECK(answer.value().status == 502);
        CHECK_FALSE(http::find_field(answer.value().fields, "ds-ran"));
        CHECK_FALSE(http::find_field(answer.value().fields, "ds-status"));
        CHECK(it.runs == 1);
    }
}

// Guards against a broken answer of an engine that its agent ends as a whole stream.
TEST_CASE("a broken answer of an engine is a broken stream") {
    for (const auto &text :
         {std::string{"HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\ndata: [DONE]\n\n"},
          std::string{"HTTP/1.1 000 OK\r\n\r\ndata: [DONE]\n\n"}, chunked_head + "5\r\ndata:\r\n",
          std::string{"HTTP/1.1 200 OK\r\n\r\ndata: {}\n\n"}, chunked_head + " e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"}) {
        CAPTURE(text);
        fixture it{text, agent::backend_kind::model};
        const auto answer = it.run("completion");
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == base::error_kind::unknown_outcome);
        CHECK(it.runs == 1);
    }
}
