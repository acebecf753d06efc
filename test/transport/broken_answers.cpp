#include <cstdint>
#include <doctest/doctest.h>
#include <future>
#include <string>
#include <string_view>

#include "support/stepped_server.hpp"
#include "transport/h2_client.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Types and flags of HTTP/2 frames, RFC 9113, section 6. */
constexpr char data_frame = 0;
constexpr char headers_frame = 1;
constexpr char reset_frame = 3;
constexpr char settings_frame = 4;
constexpr char no_flags = 0;
constexpr char end_stream = 1;
constexpr char end_headers = 4;
constexpr char end_all = end_headers | end_stream;

/** @return A frame of the first stream of a client, or of the connection if its type is `settings_frame`. */
std::string frame(char type, char flags, std::string_view payload) {
    std::string out{'\0', static_cast<char>(payload.size() >> 8U), static_cast<char>(payload.size()), type, flags};
    out.append(3, '\0').push_back(type == settings_frame ? '\0' : '\1');
    return out.append(payload);
}

/** @return A field in the literal form of HPACK, RFC 7541, section 6.2.2. */
std::string field(std::string_view name, std::string_view value) {
    std::string out{'\0', static_cast<char>(name.size())};
    return out.append(name).append(1, static_cast<char>(value.size())).append(value);
}

std::string status(std::string_view value) {
    return field(":status", value);
}

/** Sends frames as the answer to a call. */
base::result<http::response> answer_with(const std::string &frames) {
    test::stepped_server server;
    base::boottime_clock clock;
    transport::event_loop loop;
    transport::h2_client client{loop, clock};
    auto answer = std::async(std::launch::async, [&] { return client.call(server.address(), {}, 5s); });
    const std::string request_head{"\1\5\0\0\0\1", 6};
    server.read_until(request_head);
    server.send(frame(settings_frame, no_flags, "") + frames);
    server.end_output();
    return answer.get();
}

void check_refused(const std::string &frames) {
    const auto answer = answer_with(frames);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == base::error_kind::unknown_outcome);
}

} // namespace

// Guards against a status that is none being handed to an entry.
TEST_CASE("an answer over HTTP/2 without a valid status is broken") {
    for (const std::string value : {"000", "099", "99", "2000", "600", "999", "20x", ""}) {
        CAPTURE(value);
        check_refused(frame(headers_frame, end_all, status(value)));
        check_refused(frame(headers_frame, end_headers, status(value)) + frame(data_frame, end_stream, "hello"));
    }
    check_refused(frame(headers_frame, end_all, field("a", "b")));
}

// Guards against a field that is left out, or passed on, because its name or value is none.
TEST_CASE("an answer over HTTP/2 with a broken field is broken") {
    for (const auto &it :
         {field("bad name", "x"), field("name ", "x"), field("na\x01me", "x"), field("na\x7fme", "x"),
          field("Name", "x"), field("na(me", "x"), field("name", "x\x01y"), field("name", "x\ry"), field("", "x")}) {
        CAPTURE(it);
        check_refused(frame(headers_frame, end_all, status("200") + it));
        check_refused(frame(headers_frame, end_headers, status("200") + it) + frame(data_frame, end_stream, "hello"));
        check_refused(frame(headers_frame, end_headers, status("200")) + frame(data_frame, no_flags, "hello") +
                      frame(headers_frame, end_all, it));
    }
}

// Guards against a part of an answer that is taken for the whole.
TEST_CASE("an answer over HTTP/2 that is cut off is broken") {
    const auto head = frame(headers_frame, end_headers, status("200"));
    check_refused(head);
    check_refused(head + frame(data_frame, no_flags, "hello"));
    check_refused(head + frame(data_frame, no_flags, "hello") + frame(reset_frame, no_flags, {"\0\0\0\0", 4}));
    check_refused(frame(headers_frame, end_headers, status("200") + field("content-length", "6")) +
                  frame(data_frame, end_stream, "hello"));
}

// Guards against an announcement that is taken for the answer, and against sound answers that are refused.
TEST_CASE("the final answer over HTTP/2 is handed over") {
    const auto head = frame(headers_frame, end_headers, status("200") + field("name", "x"));
    const auto sound = head + frame(data_frame, end_stream, "hello");
    const auto announced = frame(headers_frame, end_headers, status("103") + field("name", "early")) + sound;
    const auto with_trailer =
        head + frame(data_frame, no_flags, "hello") + frame(headers_frame, end_all, field("trailer", "1"));
    for (const auto &frames : {sound, announced, with_trailer}) {
        const auto answer = answer_with(frames);
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
        CHECK(answer.value().body == "hello");
        CHECK(http::find_field(answer.value().fields, "name") == "x");
    }
}
