#include <condition_variable>
#include <doctest/doctest.h>
#include <thread>

#include "transport/h2_client.hpp"
#include "transport/h2_server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::boottime_clock clock;
    transport::event_loop server_loop;
    transport::event_loop client_loop;
    transport::h2_server server{server_loop, clock};
    transport::h2_client client{client_loop, clock};
    std::string address;

    void serve(transport::h2_handler handler) {
        auto bound = server.listen("127.0.0.1:0", std::move(handler));
        REQUIRE(bound);
        address = bound.value();
    }
};

} // namespace

// Guards against lost or mixed request bodies and response parts.
TEST_CASE("a call carries fields and bodies both ways") {
    fixture it;
    it.serve([](const transport::h2_stream &stream) {
        const auto &message = stream.message();
        stream.respond({200,
                        {{"ds-echo", std::string{http::find_field(message.fields, "ds-a").value_or("")}}},
                        message.method + message.target + message.body});
    });
    const std::string large(300'000, 'x');
    for (int n = 0; n < 20; ++n) {
        const auto answer = it.client.call(it.address, {"POST", "/run", {{"ds-a", "b"}}, large}, 5s);
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
        CHECK(answer.value().body == "POST/run" + large);
        CHECK(http::find_field(answer.value().fields, "ds-echo") == "b");
    }
}

// Guards against calling something "unknown" that was never sent, and the other way round.
TEST_CASE("a refused connection is not sent, a reset stream is broken") {
    fixture it;
    const auto none = it.client.call("127.0.0.1:1", {"GET", "/", {}, ""}, 5s);
    REQUIRE_FALSE(none);
    CHECK(none.error().kind == base::error_kind::unavailable);
    it.serve([](const transport::h2_stream &stream) { stream.abort(); });
    const auto broken = it.client.call(it.address, {"GET", "/", {}, ""}, 5s);
    REQUIRE_FALSE(broken);
    CHECK(broken.error().kind == base::error_kind::unknown_outcome);
}

// Guards against a stream that is cut by a server that only stops accepting.
TEST_CASE("quiesce lets an open stream finish and refuses new ones") {
    fixture it;
    std::optional<transport::h2_stream> held;
    std::mutex mutex;
    std::condition_variable ready;
    it.serve([&](const transport::h2_stream &stream) {
        const std::scoped_lock lock{mutex};
        held = stream;
        stream.start(200, {});
        (void)stream.write("first");
        ready.notify_one();
    });
    std::thread caller{[&] {
        const auto answer = it.client.call(it.address, {"GET", "/", {}, ""}, 10s);
        REQUIRE(answer);
        CHECK(answer.value().body == "firstlast");
    }};
    {
        std::unique_lock lock{mutex};
        ready.wait(lock, [&] { return held.has_value(); });
    }
    it.server.quiesce();
    transport::h2_client other{it.client_loop, it.clock};
    const auto refused = other.call(it.address, {"GET", "/", {}, ""}, 5s);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == base::error_kind::unavailable);
    (void)held->write("last");
    held->finish();
    caller.join();
}

// Guards against a stream that waits for ever on a peer that no longer answers pings.
TEST_CASE("a silent connection ends its calls as broken") {
    base::boottime_clock clock;
    transport::event_loop loop;
    ACE_SOCK_Stream unused;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&where), sizeof(where)) == 0);
    REQUIRE(::listen(listener, 5) == 0);
    socklen_t n = sizeof(where);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&where), &n) == 0);
    transport::h2_timings timings;
    timings.ping_interval = 50ms;
    timings.ping_deadline = 150ms;
    transport::h2_client client{loop, clock, timings};
    const auto address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
    const auto answer = client.call(address, {"GET", "/", {}, ""}, 60s);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == "connection_lost");
    client.stop();
    ::close(listener);
}
