#include <array>
#include <atomic>
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
using namespace std::string_literals;
using test::scripted_answer;
using then = test::scripted_answer::then;

namespace {

/** The clients that read HTTP/1.1 answers. */
enum class reader {
    pooled,  /**< `pooled_client`. */
    async,   /**< `async_client`. */
    blocking /**< `curl_client`. */
};

constexpr std::array readers{reader::pooled, reader::async, reader::blocking};

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

/** Sends one answer to each reader, on a new and on a kept connection, and checks that no call takes it for whole. */
void check_refused(const std::string &text, bool head_is_sound) {
    std::atomic<int> sound_answers{0};
    test::scripted_server server{[&](int, int, const std::string &) {
        return sound_answers-- > 0 ? scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"}
                                   : scripted_answer{text, then::close};
    }};
    for (const auto which : readers) {
        caller it{which};
        it.keep_connections_to(server.address());
        for (const auto &message : {get, post}) {
            for (const bool kept : {false, true}) {
                for (const bool streamed : {false, true}) {
                    CAPTURE(text);
                    CAPTURE(name_of(which));
                    CAPTURE(message.method);
                    CAPTURE(kept);
                    CAPTURE(streamed);
                    sound_answers = kept ? 1 : 0;
                    REQUIRE((!kept || it.call(server.address(), get, false).whole()));
                    const int before = server.requests();
                    const auto out = it.call(server.address(), message, streamed);
                    CHECK(server.requests() == before + 1);
                    CHECK_FALSE(out.whole());
                    CHECK((out.whole() || out.end->error().kind == base::error_kind::unknown_outcome));
                    CHECK((head_is_sound || out.heads.empty()));
                    CHECK((head_is_sound || out.streamed.empty()));
                }
            }
        }
    }
}

std::string head_with(std::string_view line) {
    return "HTTP/1.1 200 OK\r\n" + std::string{line} + "\r\nContent-Length: 5\r\n\r\nhello";
}

std::string chunked(std::string_view body) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string{body};
}

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
 * Sends an answer to a request, without a length unless `framing` states one, holds the client after the head or the
 * first part until the connection has ended, and then lets the client go on.
 */
report call_and_end(reader which, const http::request &message, reading how_far, ending how, bool streamed,
                    int status = 200, const std::string &framing = "") {
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
        server.read_body(message.body.size());
    }
    server.send("HTTP/1.1 " + std::to_string(status) + " X\r\nA: b\r\n" + framing + "\r\nfirst part");
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
            return scripted_answer{"HTTP/1.1 200 OK\r\n" + std::string{line} +
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

// Guards against a sound answer that is refused because its server does not take the rest of the upload.
TEST_CASE("an answer that has its length is whole, whatever becomes of its connection") {
    const http::request upload{"POST", "/", {}, std::string(upload_bytes, 'x')};
    for (const auto which : readers) {
        for (const auto how : {ending::reset, ending::closed, ending::ended_and_reset, ending::ended}) {
            CAPTURE(name_of(which));
            CAPTURE(static_cast<int>(how));
            const auto out = call_and_end(which, upload, reading::head, how, true, 200, "Content-Length: 10\r\n");
            CHECK(out.whole());
            CHECK(out.streamed == "first part");
        }
    }
}

// Guards against a status that is none being handed to a caller.
TEST_CASE("an answer without a valid status is broken") {
    for (const auto *status : {"000 OK", "000", "099 OK", "99 OK", "99", "2000 OK", "0200 OK", "20x OK", "+20 OK",
                               "-20 OK", " 200 OK", "200OK", "200\tOK", "600 OK", "999 OK", "", "OK"}) {
        check_refused("HTTP/1.1 " + std::string{status} + "\r\nContent-Length: 5\r\n\r\nhello", false);
        check_refused("HTTP/1.1 " + std::string{status} + "\r\n\r\nhello", false);
    }
    for (const auto *line :
         {"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.x 200 OK", "HTTP/1.12 200 OK", "HTTP/2 200 OK",
          "HTTP/2.0 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "HTTP/1.", "HTTP/1.1", "HTTP/1.1 "}) {
        check_refused(std::string{line} + "\r\nContent-Length: 5\r\n\r\nhello", false);
    }
    check_refused("HTTP/1.1 200 O\0K\r\nContent-Length: 5\r\n\r\nhello"s, false);
    check_refused("HTTP/1.1 200 O\rK\r\nContent-Length: 5\r\n\r\nhello", false);
    check_refused("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello", false);
    check_refused("HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
}

const std::vector<std::string> broken_lines{
    "Bad Name: x",
    "Name : x",
    "Name\t: x",
    " Name: x",
    "\tName: x",
    "Na\x01me: x",
    "Na\x7fme: x",
    "Na\rme: x",
    std::string{"Na\0me: x", 8},
    "Na\x0bme: x",
    "Name\x01: x",
    "\x01Name: x",
    "Na(me): x",
    "Na\xc3\xa4me: x",
    ": x",
    "no colon",
    "HTTP/1.1 200 OK",
    "Content-Length : 2",
    "Transfer-Encoding : chunked",
    "Name: x\x01y",
    "Name: x\ry",
    std::string{"Name: x\0y", 9},
};

// Guards against a field that is passed on although its name is none, and against a body that is framed by it.
TEST_CASE("an answer with a broken line in its head is broken") {
    for (const auto &line : broken_lines) {
        check_refused(head_with(line), false);
        check_refused(head_with("Name: x\r\n" + line), false);
        check_refused("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n\r\nhello", false);
        check_refused("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nhello", false);
        check_refused("HTTP/1.1 503 Busy\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello", false);
    }
    check_refused("HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n" + head_with("Name: x"), false);
}

// Guards against a broken end of an answer that makes it a whole one.
TEST_CASE("an answer with a broken line among its trailers is broken") {
    for (const auto &line : broken_lines) {
        check_refused(chunked("5\r\nhello\r\n0\r\n" + line + "\r\n\r\n"), true);
        check_refused(chunked("5\r\nhello\r\n0\r\nName: x\r\n" + line + "\r\n\r\n"), true);
    }
}

// Guards against a body that ends elsewhere than the server meant.
TEST_CASE("an answer with a broken chunk line is broken") {
    for (const auto &line :
         std::vector<std::string>{"", " 5", "5x", "5 5", "+5", "-5", "0x5", "5\x01", "5\r", "5;a\x01", "5;a\rb",
                                  std::string{"5;\0", 3}, "5,", "g", "10000000000000000", "10000000000000005"}) {
        check_refused(chunked(line + "\r\nhello\r\n0\r\n\r\n"), true);
    }
    check_refused(chunked("5\r\nhello0\r\n\r\n"), true);
    check_refused(chunked("5\r\nhelloxx\r\n0\r\n\r\n"), true);
    check_refused(chunked("5\r\nhello\r\n"), true);
    check_refused(chunked("5\r\nhello\r\n0\r\n"), true);
    check_refused(chunked("5\r\nhello\r\n0\r\nName: x\r\n"), true);
    check_refused(chunked("5\r\nhell"), true);
}

// Guards against a body that is passed on in a form which the caller does not know, or with an end in doubt.
TEST_CASE("an answer with a framing that the readers do not know is broken") {
    for (const auto *fields :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: xchunked",
          "Transfer-Encoding:", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: gzip\r\nContent-Length: 15", "Content-Length: x",
          "Content-Length:", "Content-Length: +15", "Content-Length: -1", "Content-Length: 15x", "Content-Length: 1 5",
          "Content-Length: 15, 15", "Content-Length: 15\r\nContent-Length: 5",
          "Content-Length: 99999999999999999999"}) {
        check_refused("HTTP/1.1 200 OK\r\n" + std::string{fields} + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false);
    }
    check_refused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false);
}

// Guards against long answers that are cut off, and against wrong bodies, through what frames them.
TEST_CASE("sound answers of all framings arrive whole through all readers") {
    std::string many;
    for (int n = 0; n < 40'000; ++n) {
        many += "1;a=b\r\nx\r\n";
    }
    const std::string hello{
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX!#$%&'*+-.^_`|~9: \xc3\xa4\tb\r\nEmpty:\r\n"};
    struct sound_answer {
        std::string text;
        std::string body;
    };
    const std::vector<sound_answer> answers{
        {hello + "Content-Length: 5\r\n\r\nhello", "hello"},
        {hello + "Content-Length: 0\r\n\r\n", ""},
        {hello + "\r\nhello", "hello"},
        {hello + "\r\n", ""},
        {"HTTP/1.0 200 OK\r\n\r\nhello", "hello"},
        {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello", "hello"},
        {"HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", "hello"},
        {"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + hello + "Content-Length: 5\r\n\r\nhello", "hello"},
        {chunked("5 ; a=\"b c\"\r\nhello\r\n1\r\n!\r\n0\r\nTrailer: 1\r\n\r\n"), "hello!"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n000\r\n\r\n", "hello"},
        {chunked(many + "0\r\n\r\n"), std::string(40'000, 'x')},
    };
    for (const auto which : readers) {
        for (const auto &answer : answers) {
            for (const bool streamed : {false, true}) {
                CAPTURE(name_of(which));
                CAPTURE(answer.text.substr(0, 200));
                CAPTURE(streamed);
                test::scripted_server server{[&answer](int, int, const std::string &) {
                    return scripted_answer{answer.text, then::close};
                }};
                caller it{which};
                const auto out = it.call(server.address(), post, streamed);
                REQUIRE(out.whole());
                CHECK((streamed ? out.streamed : out.body()) == answer.body);
                CHECK(out.end->value().status == 200);
                CHECK((which == reader::blocking || out.heads == std::vector<int>{200}));
            }
        }
    }
}
