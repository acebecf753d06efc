#include "settings/agent_settings.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

// Guards against a backend server that does not inherit its agent's failure domain, and against duplicate names.
TEST_CASE("agent settings are parsed and validated") {
    const std::string head =
        R"({"host":"h1","failure_domain":"rajkot","listen":"127.0.0.1:0","store":"127.0.0.1:1","backends":[)";
    const std::string engine =
        R"({"name":"b1","service":"drafting","kind":"model","address":"127.0.0.1:2","models":["m"],"honours_fence":true})";
    const auto got = settings::parse_agent_settings("a.json", head + engine + "]}");
    REQUIRE(got);
    REQUIRE(got.value().backends.size() == 1);
    CHECK(got.value().backends[0].failure_domain == "rajkot");
    CHECK(got.value().backends[0].honours_fence);
    const auto moved =
        settings::parse_agent_settings("a.json", head + engine + "]}", {"backends.0.address=127.0.0.1:9"});
    REQUIRE(moved);
    CHECK(moved.value().backends[0].address == "127.0.0.1:9");
    CHECK_FALSE(settings::parse_agent_settings("a.json", head + engine + "]}", {"backends.1.address=127.0.0.1:9"}));
    const auto wrong = settings::parse_agent_settings(
        "a.json", head + engine + "," + engine + R"(,{"name":"b2","service":"s","kind":"modal","address":"1"}]})");
    REQUIRE_FALSE(wrong);
    for (const auto *it : {"backends[1].name: expected a name used once", "backends[2].kind: expected one of \"model\"",
                           "backends[2].address:", "backends[2].models:"}) {
        CHECK_MESSAGE(wrong.error().message.find(it) != std::string::npos, it, " missing in ", wrong.error().message);
    }
}

// Guards against treating a missing file as an empty one.
TEST_CASE("a file that cannot be read is an error") {
    const auto got = settings::load_agent_settings("/nonexistent/agent.json");
    REQUIRE_FALSE(got);
    CHECK(got.error().kind == base::error_kind::not_found);
}
