#include "settings/entry_settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dotterelstack;

namespace {

constexpr std::string_view good = R"({
  // The entry of the first failure domain.
  "name": "entry-1", "failure_domain": "rajkot",
  "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "store": "127.0.0.1:7001", "platform": "127.0.0.1:7002", /* stand-ins */
  "timings": {"lease_term_ms": 3000}
})";

} // namespace

// Guards against values that are stored in the wrong member, and against lost defaults.
TEST_CASE("entry settings with comments are read") {
    const auto got = settings::parse_entry_settings("e.json", good);
    REQUIRE(got);
    CHECK(got.value().name == "entry-1");
    CHECK(got.value().listen.peers == "127.0.0.1:0");
    CHECK(got.value().timings.lease_term == std::chrono::seconds{3});
    CHECK(got.value().timings.key_check_interval == std::chrono::seconds{1});
    CHECK(got.value().limits.concurrent_requests == 1000);
}

// Guards against reporting only the first problem, which makes an operator correct one field per attempt.
TEST_CASE("every problem is reported at once with file, path, expected value and remedy") {
    const auto got = settings::parse_entry_settings("e.json", R"({"name": "Entry 1", "failure_domain": "a",
        "listen": {"callers": "localhost:1", "peers": "127.0.0.1:0"}, "store": "127.0.0.1:0",
        "limits": {"body_bytes": -1, "bodybytes": 1}, "timings": {"lease_term_ms": 1000, "lease_margin_ms": 900}})");
    REQUIRE_FALSE(got);
    CHECK(got.error().kind == base::error_kind::invalid_argument);
    const auto &text = got.error().message;
    for (const auto *it : {"e.json: name: expected", "e.json: listen.callers: expected an IPv4 address",
                           "store:", "platform: expected this field, found nothing; add the field",
                           "limits.body_bytes:", "limits.bodybytes: expected one of",
                           "timings.lease_margin_ms: expected at most half"}) {
        CHECK_MESSAGE(text.find(it) != std::string::npos, it, " missing in ", text);
    }
    CHECK(std::count(text.begin(), text.end(), '\n') == 6);
}

// Guards against syntax errors without a location, and against silently using one of two fields with the same name.
TEST_CASE("syntax errors are reported with line and column, duplicate fields are rejected") {
    const auto broken = settings::parse_entry_settings("e.json", "{\n  \"name\": oops\n}");
    REQUIRE_FALSE(broken);
    CHECK(broken.error().message.starts_with("e.json: line 2 column 11"));
    std::string doubled{good};
    doubled.insert(1, "\"name\":\"x\",");
    const auto twice = settings::parse_entry_settings("e.json", doubled);
    REQUIRE_FALSE(twice);
    CHECK(twice.error().message.find("a second field of this name") != std::string::npos);
}

// Guards against overrides that bypass validation.
TEST_CASE("overrides replace fields and are validated") {
    const auto got = settings::parse_entry_settings(
        "e.json", good, {"store=10.1.2.3:99", "timings.lease_margin_ms=500", "peers=[\"127.0.0.1:5\"]"});
    REQUIRE(got);
    CHECK(got.value().store == "10.1.2.3:99");
    CHECK(got.value().timings.lease_margin == std::chrono::milliseconds{500});
    CHECK(got.value().peers.size() == 1);
    CHECK_FALSE(settings::parse_entry_settings("e.json", good, {"stoer=1"}));
    CHECK_FALSE(settings::parse_entry_settings("e.json", good, {"name.x=1"}));
    CHECK_FALSE(settings::parse_entry_settings("e.json", good, {"name"}));
}
