#include "entry/caller_request.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace dotterelstack::entry;

namespace {

parse_result parse(std::string method, std::string target, std::string body, http::field_list fields = {}) {
    return parse_caller_request({std::move(method), std::move(target), std::move(fields), std::move(body)}, {});
}

std::string refused_with(const parse_result &it) {
    return it ? "accepted" : std::to_string(it.error().status) + " " + it.error().code;
}

} // namespace

// Guards against malformed requests that reach an engine or are refused with a misleading status.
TEST_CASE("malformed requests are refused with the right status and code") {
    const std::string path = "/v1/completions";
    CHECK(refused_with(parse("POST", "/v2", "")) == "404 unknown_path");
    CHECK(refused_with(parse("GET", path, "")) == "405 method_not_allowed");
    CHECK(refused_with(parse("POST", path, "{")) == "400 bad_json");
    CHECK(refused_with(parse("POST", path, "[]")) == "400 bad_json");
    CHECK(refused_with(parse("POST", path, "{\"model\":\"m\",\"prompt\":\"\xff\"}")) == "400 bad_json");
    // A body that is parsed, but cannot be printed again without much stack (review/3, related path).
    const std::string nested = std::string(300'000, '[') + std::string(300'000, ']');
    CHECK(refused_with(parse("POST", path, R"({"model":"m","prompt":"x","tools":)" + nested + "}")) == "400 bad_json");
    CHECK(refused_with(parse("POST", path, R"({"prompt":"x"})")) == "400 missing_model");
    CHECK(refused_with(parse("POST", path, R"({"model":"m"})")) == "400 bad_prompt");
    CHECK(refused_with(parse("POST", path, R"({"model":"m","prompt":"x","max_tokens":-1})")) == "400 bad_max_tokens");
    CHECK(refused_with(parse("POST", path, R"({"model":"m","prompt":"x","max_tokens":1e30})")) == "400 bad_max_tokens");
    CHECK(refused_with(parse("POST", path, R"({"model":"m","prompt":"x","max_tokens":99999999})")) ==
          "400 bad_max_tokens");
    CHECK(refused_with(parse("POST", path, R"({"model":"m","prompt":"x","stream":1})")) == "400 bad_stream");
    CHECK(refused_with(parse("POST", "/v1/chat/completions", R"({"model":"m","messages":[]})")) == "400 bad_prompt");
    CHECK(refused_with(parse("GET", "/services//x", "")) == "404 unknown_path");
    CHECK(refused_with(parse("GET", "/services/a/../b", "")) == "404 unknown_path");
    CHECK(refused_with(parse("POST", path, "{}", {{"x", std::string(20000, 'a')}})) == "431 headers_too_large");
}

// Guards against fields that are lost between caller and engine.
TEST_CASE("all fields of a completion and a call are parsed") {
    const auto it = parse("POST", "/v1/chat/completions",
                          R"({"model":"m","messages":[{"role":"user","content":"a b"}],"stream":true,"max_tokens":7})",
                          {{"Authorization", "bearer k1"}, {"idempotency-key", "i1"}});
    REQUIRE(it);
    CHECK(it.value().kind == request_kind::chat);
    CHECK(it.value().key == "k1");
    CHECK(it.value().idempotency_key == "i1");
    CHECK(it.value().stream);
    CHECK(it.value().max_tokens == 7);
    const auto call = parse("POST", "/services/booking/bookings?x=1", "{}", {{"Content-Type", "application/json"}});
    REQUIRE(call);
    CHECK(call.value().service == "booking");
    CHECK(call.value().path == "/bookings?x=1");
    CHECK(call.value().content_type == "application/json");
}

// Guards against equal prefix hashes for different models or different texts.
TEST_CASE("prefix hashes are equal exactly for common blocks") {
    const std::string common = "one two three four ";
    const auto a = prefix_hashes("m", common + "five six ", 2);
    const auto b = prefix_hashes("m", common + "seven eight ", 2);
    REQUIRE(a.size() == 3);
    REQUIRE(b.size() == 3);
    CHECK(a[0] == b[0]);
    CHECK(a[1] == b[1]);
    CHECK(a[2] != b[2]);
    CHECK(prefix_hashes("n", common, 2)[0] != a[0]);
}
