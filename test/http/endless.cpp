#include <doctest/doctest.h>
#include <future>

#include "http/async_client.hpp"
#include "http/client.hpp"
#include "support/endless_server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct endless_answer {
    std::string first;
    std::string repeated;
};

const std::vector<endless_answer> endless_answers{
    {"HTTP/1.1 200 OK\r\n", "X-Padding: 0123456789012345678901234567890123456789\r\n"},
    {"HTTP/1.1 200 OK\r\nX-Line: ", std::string(4096, 'a')},
    {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"HTTP/1.1 500 Oh\r\n\r\n", std::string(65536, 'b')},
    {"HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
     "X-Trailer: 0123456789012345678901234567890123456789\r\n"},
    {std::string(100, 'x'), std::string(4096, 'x')},
};

} // namespace

// A faulty server sends bytes that are no answer until the caller closes. Guards against memory that grows with them,
// and against a call that lasts until its time-out.
TEST_CASE("a head or body without end is cut off at the limit") {
    for (const auto &it : endless_answers) {
        CAPTURE(it.first);
        test::endless_server server{it.first, it.repeated};
        http::curl_client client;
        http::call_options options;
        options.timeout = 30s;
        options.body_limit = 1U << 20U;
        const base::boottime_clock clock;
        const auto begun = clock.now();
        const auto answer = client.call(server.address(), {"GET", "/", {}, ""}, options);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == base::error_kind::unknown_outcome);
        CHECK(clock.now() - begun < options.timeout);
    }
}

// The same on the shared transfer thread. Guards against other transfers that wait meanwhile.
TEST_CASE("an endless answer does not keep other transfers from ending") {
    http::async_client client;
    std::vector<std::unique_ptr<test::endless_server>> servers;
    std::vector<std::promise<bool>> ended(endless_answers.size());
    for (std::size_t n = 0; n < endless_answers.size(); ++n) {
        const auto &it = endless_answers[n];
        servers.push_back(std::make_unique<test::endless_server>(it.first, it.repeated));
        http::call_options options;
        options.timeout = 30s;
        options.fresh_connection = true;
        client.send(servers.back()->address(), {"GET", "/", {}, ""}, options,
                    {{}, [&ended, n](const base::result<http::response> &answer) { ended[n].set_value(!answer); }});
    }
    for (auto &it : ended) {
        CHECK(it.get_future().get());
    }
    client.stop();
}

// Guards against losing what a refusal says in its head, because the connection breaks before its body is whole.
TEST_CASE("the head of any answer is reported before its body, and once") {
    const test::endless_server server{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\n"
                                      "Content-Length: 999999999\r\n\r\n",
                                      "x"};
    http::async_client client;
    std::promise<bool> ended;
    std::vector<int> heads;
    http::field_list fields;
    http::call_options options;
    options.timeout = 30s;
    options.body_limit = 1U << 20U;
    client.send(server.address(), {"GET", "/", {}, ""}, options,
                {.on_data = {},
                 .on_end = [&ended](const base::result<http::response> &answer) { ended.set_value(!answer); },
                 .on_head =
                     [&](int status, const http::field_list &seen) {
                         heads.push_back(status);
                         fields = seen;
                     }});
    CHECK(ended.get_future().get());
    client.stop();
    CHECK(heads == std::vector<int>{503});
    CHECK(http::find_field(fields, "Server-Leaving") == "1");
}
