#include "http/answer_reader.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dotterelstack;
using http::read_step;

namespace {

struct reading {
    read_step last{read_step::more};
    int status{0};
    std::string body;
    std::string rest;
    bool framed{false};
    bool persistent{false};
    bool ends_here{false};
};

/** Reads a text that arrives in pieces of some size. */
reading read(std::string_view text, std::size_t piece, std::string_view method = "GET", std::size_t limit = 4096) {
    http::answer_reader it{method, limit};
    reading out;
    while (!text.empty()) {
        auto in = text.substr(0, piece);
        text.remove_prefix(in.size());
        while ((out.last = it.next(in)) == read_step::head || out.last == read_step::part) {
            out.body += out.last == read_step::part ? it.part() : "";
        }
        if (out.last != read_step::more) {
            out.rest = std::string{in} + std::string{text};
            break;
        }
    }
    out.status = it.status();
    out.framed = it.framed();
    out.persistent = it.persistent();
    out.ends_here = it.is_whole_at(http::connection_end::orderly);
    return out;
}

} // namespace

// Guards against an end of an answer that is found too early or too late, wherever the input is divided.
TEST_CASE("answers are read whole in pieces of any size, and what follows is left") {
    for (const std::size_t piece : {1U, 2U, 3U, 7U, 1000U}) {
        CAPTURE(piece);
        const auto sized = read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP", piece);
        CHECK(sized.last == read_step::done);
        CHECK(sized.body == "hello");
        CHECK(sized.rest.starts_with("H"));
        CHECK(sized.persistent);
        const auto chunked = read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "5;x=y\r\nhello\r\nA\r\n, world wi\r\n0\r\nTrailer: 1\r\n\r\nx",
                                  piece);
        CHECK(chunked.last == read_step::done);
        CHECK(chunked.status == 200);
        CHECK(chunked.body == "hello, world wi");
        CHECK(chunked.framed);
        CHECK(chunked.rest == "x");
        const auto open = read("HTTP/1.1 200 OK\nA: b\n\nhello", piece);
        CHECK(open.last == read_step::more);
        CHECK(open.body == "hello");
        CHECK_FALSE(open.framed);
        CHECK(open.ends_here);
        CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", piece, "HEAD").last == read_step::done);
        CHECK(read("HTTP/1.1 204 No Content\r\n\r\n", piece).last == read_step::done);
        CHECK_FALSE(read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", piece).ends_here);
    }
}

// Guards against reuse of a connection that the server closes, or of one on which the end of the answer is in doubt.
TEST_CASE("connections that end, or whose framing is ambiguous, are not persistent") {
    const auto persistent = [](std::string_view version, std::string_view fields) {
        return read(std::string{version} + " 200 OK\r\n" + std::string{fields} + "\r\n", 64).persistent;
    };
    CHECK(persistent("HTTP/1.1", "Content-Length: 0\r\n"));
    CHECK_FALSE(persistent("HTTP/1.1", "Content-Length: 0\r\nConnection: x, Close\r\n"));
    CHECK_FALSE(persistent("HTTP/1.0", "Content-Length: 0\r\n"));
    CHECK_FALSE(persistent("HTTP/1.1", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"));
}

// Guards against bytes that are taken for an answer, and against heads without end.
TEST_CASE("input that is no answer is recognised") {
    for (const auto *text :
         {"ICY 200 OK\r\n\r\n", "HTTP/1.1 20x OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\n folded: x\r\n\r\n",
          "HTTP/1.1 200 OK\r\nA: b\001\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
        CAPTURE(text);
        CHECK(read(text, 1000).last == read_step::malformed);
        CHECK(read(text, 1).last == read_step::malformed);
    }
    CHECK(read("HTTP/1.1 200 OK\r\nA: " + std::string(200, 'x'), 50, "GET", 100).last == read_step::too_long);
    CHECK(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + std::string(200, 'x'), 50, "GET", 100)
              .last == read_step::too_long);
}
