#include "entry/key_scrubber.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack::entry;

namespace {

caller_request call(std::string path, std::string body) {
    caller_request it;
    it.kind = request_kind::call;
    it.key = "secret-key-1";
    it.path = std::move(path);
    it.body = std::move(body);
    return it;
}

} // namespace

// Guards against a key that reaches a backend server in the query, plain or encoded.
TEST_CASE("a key in the query is removed") {
    auto it = call("/a?x=1&api_key=secret-key-1&y=2", "");
    CHECK(scrub_keys(it) == scrub_outcome::removed);
    CHECK(it.path == "/a?x=1&y=2");
    it = call("/a?k=secret%2Dkey-1", "");
    CHECK(scrub_keys(it) == scrub_outcome::removed);
    CHECK(it.path == "/a");
    it = call("/a?k=dsk_another", "");
    CHECK(scrub_keys(it) == scrub_outcome::removed);
}

// Guards against a key that reaches a backend server in a body, a path or a content type.
TEST_CASE("a key in body, path or content type is refused") {
    auto it = call("/a", R"({"k":"secret-key-1"})");
    CHECK(scrub_keys(it) == scrub_outcome::refused);
    it = call("/a", R"({"k":"secret\u002dkey-1"})");
    CHECK(scrub_keys(it) == scrub_outcome::refused);
    it = call("/secret-key-1", "");
    CHECK(scrub_keys(it) == scrub_outcome::refused);
    it = call("/a", "");
    it.content_type = "text/plain; k=secret-key-1";
    CHECK(scrub_keys(it) == scrub_outcome::refused);
    it = call("/a?x=1", R"({"booking_id":"b"})");
    CHECK(scrub_keys(it) == scrub_outcome::clean);
    CHECK(it.path == "/a?x=1");
}
