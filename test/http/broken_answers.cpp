#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http/async_client.hpp"
#include "http/client.hpp"
#include "http/pooled_client.hpp"
#include "support/scripted_server.hpp"
#include "support/stepped_server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** The clients that read HTTP/1.1 answers. */
enum class reader {
    pooled,  /**< `pooled_client`. */
    async,   /**< `async_client`. */
    blocking /**< `curl_client`. */
};

constexpr std::array readers{reader::pooled};

std::string name_of(reader which) {
    return which == reader::pooled ? "pooled" : which == reader::async ? "async" : "blocking";
}

/** What a call has handed over. */
struct report {
    std::vector<int> heads; /**< Not known of `reader::blocking`. */
    std::string streamed;
    std::optional<base::result<http::response>> end;

    [[nodiscard]] bool whole() const { return end->has_value(); }
    [[nodiscard]] std::string body() const { return whole() ? end->value().body : end->error().code; }
};

/** Makes calls through one reader. */
class caller {
public:
    explicit caller(reader which) : which_{which} {}

    void keep_connections_to(const std::string &address) {
        pooled_.set_servers(std::array{http::pooled_server{address, "a", 8}});
    }

    /**
     * @param streamed Whether the body of a 200 is handed over in parts.
     * @param held Called with each head and each part, on the thread that reads the answer.
     */
    report call(
        const std::string &address, const http::request &message, bool streamed,
        const std::function<void()> &held = [] {}) {
        report out;
        http::call_options options;
        options.timeout = 10s;
        const http::body_sink sink = [&](std::string_view part) {
            out.streamed += part;
            held();
            return true;
        };
        if (which_ == reader::blocking) {
            out.end = streamed ? blocking_.stream(address, message, options, sink)
                               : blocking_.call(address, message, options);
            return out;
        }
        // The client's thread may still use the promise when the future is ready.
        const auto ended = std::make_shared<std::promise<void>>();
        http::async_handlers handlers;
        handlers.on_data = streamed ? sink : http::body_sink{};
        handlers.on_head = [&](int status, const http::field_list &) {
            out.heads.push_back(status);
            held();
        };
        handlers.on_end = [&out, ended](base::result<http::response> answer) {
            out.end = std::move(answer);
            ended->set_value();
        };
        if (which_ == reader::pooled) {
            pooled_.send(address, message, options, std::move(handlers),
                         [](const http::request &, const http::field_list &) { return http::answer_owner::own; });
        } else {
            async_.send(address, message, options, std::move(handlers));
        }
        ended->get_future().wait();
        return out;
    }

private:
    const reader which_;
    const base::boottime_clock time_;
    http::pooled_client pooled_{time_};
    http::async_client async_;
    http::curl_client blocking_;
};

const http::request get{"GET", "/", {}, ""};
const http::request post{"POST", "/", {}, "body"};

/** How a server ends the connection while the client is held. */
enum class ending {
    reset,           /**< Resets it. */
    closed,          /**< Closes it. */
    ended_and_reset, /**< Ends its output, then resets it. */
    ended            /**< Ends its output. */
};

/** How far a server reads a request. */
enum class reading {
    head,
    all
};

// Exceeds the buffers of both sockets, so that a server that reads the head alone leaves the client writing.
constexpr std::size_t upload_bytes = std::size_t{16} << 20U;

/**
 * Sends an answer without a length to a request, holds the client after the head or the first part until the
 * connection has ended, and then lets the client go on.
 */
report call_and_end(reader which, const http::request &message, reading how_far, ending how, bool streamed,
                    int status = 200) {
    test::stepped_server server;
    std::promise<void> reached;
    std::promise<void> ended;
    auto has_ended = ended.get_future().share();
    bool held = false;
    caller it{which};
    auto out = std::async(std::launch::async, [&] {
        return it.call(server.address(), message, streamed, [&] {
            if (!std::exchange(held, true)) {
                reached.set_value();
                has_ended.wait();
            }
        });
    });
    server.read_until("\r\n\r\n");
    if (how_far == reading::all) {
        server.read_total(message.body.size());
    }
    server.send("HTTP/1.1 " + std::to_string(status) + " X\r\nA: b\r\n\r\nfirst part");
    reached.get_future().wait();
    if (how == ending::ended || how == ending::ended_and_reset) {
        server.end_output();
    }
    if (how == ending::reset || how == ending::ended_and_reset) {
        server.reset();
    } else if (how == ending::closed) {
        server.close();
    }
    ended.set_value();
    return out.get();
}

void check_cut_off(const http::request &message, reading how_far, ending how) {
    for (const auto which : readers) {
        for (const bool streamed : {false, true}) {
            for (const int status : {200, 500}) {
                // Without a head or a part that is handed over there is nothing that holds the client.
                if ((which == reader::blocking && !streamed) || (streamed && status != 200)) {
                    continue;
                }
                CAPTURE(name_of(which));
                CAPTURE(message.body.size());
                CAPTURE(static_cast<int>(how));
                CAPTURE(streamed);
                CAPTURE(status);
                const auto out = call_and_end(which, message, how_far, how, streamed, status);
                CHECK_FALSE(out.whole());
                if (!out.whole()) {
                    CHECK(out.end->error().kind == base::error_kind::unknown_outcome);
                }
            }
        }
    }
}

} // namespace

// Guards against a part of an answer that is taken for the whole because the write of the upload meets the reset first.
TEST_CASE("an answer without a length whose connection is reset during the upload is broken") {
    const http::request upload{"POST", "/", {}, std::string(upload_bytes, 'x')};
    check_cut_off(upload, reading::head, ending::reset);
    check_cut_off(upload, reading::head, ending::closed);
    check_cut_off(upload, reading::head, ending::ended_and_reset);
}

// Guards against the end of a connection being taken for that of an answer, although the server gave up the request.
TEST_CASE("an answer without a length that ends before the server has taken the whole request is broken") {
    const http::request upload{"POST", "/", {}, std::string(upload_bytes, 'x')};
    check_cut_off(upload, reading::head, ending::ended);
}

// Guards against a reset that is not noticed because the end of the output is read first.
TEST_CASE("an answer without a length whose connection is reset is broken, whatever else the connection says") {
    for (const auto &message : {get, post}) {
        check_cut_off(message, reading::all, ending::reset);
        check_cut_off(message, reading::all, ending::ended_and_reset);
    }
}

// Guards against sound answers that are refused.
TEST_CASE("an answer without a length ends with its connection") {
    const http::request upload{"POST", "/", {}, std::string(upload_bytes, 'x')};
    for (const auto which : readers) {
        for (const auto &message : {get, post, upload}) {
            for (const auto how : {ending::ended, ending::closed}) {
                CAPTURE(name_of(which));
                CAPTURE(message.body.size());
                const auto out = call_and_end(which, message, reading::all, how, true);
                REQUIRE(out.whole());
                CHECK(out.streamed == "first part");
            }
        }
    }
}

// Guards against a process that is ended by a head whose first field line is folded.
TEST_CASE("a folded line after an earlier answer ends no process") {
    constexpr int rounds = 20;
    for (const auto which : {reader::pooled, reader::async, reader::blocking}) {
        CAPTURE(name_of(which));
        test::scripted_server server{[](int, int, const std::string &text) {
            const auto *line = text.starts_with("GET /folded") ? " Name: x\r\n" : "Name: x\r\n";
            return test::scripted_answer{"HTTP/1.1 200 OK\r\n" + std::string{line} +
                                         "Last-Name: x\r\nContent-Length: 1\r\n\r\nx"};
        }};
        caller it{which};
        for (int n = 0; n < rounds; ++n) {
            REQUIRE(it.call(server.address(), get, false).whole());
            (void)it.call(server.address(), {"GET", "/folded", {}, ""}, false);
        }
        CHECK(server.requests() == 2 * rounds);
    }
}
