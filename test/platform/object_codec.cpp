#include "platform/object_codec.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

const platform::object_codec codec;

const std::string entry =
    R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"rajkot","Version":"v1","Slots":12,"State":"ready",)"
    R"("ColdRemainingMs":1500,"Stage":"decode","Models":[],"Sequence":4,"born":1770096422686})";

std::string with(const std::string &from, const std::string &to) {
    auto out = entry;
    out.replace(out.find(from), from.size(), to);
    return out;
}

} // namespace

// Guards against configuration fields that are decoded incorrectly.
TEST_CASE("a configuration is decoded") {
    const auto it = codec.decode_config(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"streaming","TimeoutMs":5000,)"
        R"("TargetLatencyMs":300,"Priority":1,"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],)"
        R"("MaxAttempts":2,"Public":true,"Resumable":true,"GapAimMs":150},)"
        R"({"Host":"h","PathPrefix":"/b/","Kind":"keyed","Service":"s"}],)"
        R"("Services":[{"Name":"s","MaxConnections":170,"Engine":{"Slots":12,"KvCapacityTokens":610008,"KvHoldS":5.0}}],)"
        R"("Limits":{"MaxHeaderBytes":1000,"HeaderTimeoutMs":2500.5,"IdleTimeoutMs":15000},)"
        R"("Tenants":[{"Name":"o","ApiKeys":["k1","k2"],"Priority":1}]})");
    REQUIRE(it);
    const auto &values = it.value();
    CHECK(values.version == 7);
    REQUIRE(values.routes.size() == 2);
    CHECK(values.routes[0].kind == gateway::work_kind::stream);
    CHECK(values.routes[0].timeout == 5s);
    CHECK(values.routes[0].latency_objective == 300ms);
    CHECK(values.routes[0].services.size() == 2);
    CHECK(values.routes[0].max_attempts == 2);
    CHECK(values.routes[0].is_public);
    CHECK(values.routes[0].resumable);
    // An unknown kind is treated as work that must not be repeated.
    CHECK(values.routes[1].kind == gateway::work_kind::unsafe);
    REQUIRE(values.services[0].engine);
    CHECK(values.services[0].engine->handle_ttl == 5s);
    CHECK(values.limits.header_bytes == 1000);
    CHECK(values.limits.header_timeout == 2500500us);
    CHECK(values.limits.idle_timeout == 15s);
    REQUIRE(values.organisations);
    CHECK(values.organisations->at(0).keys.size() == 2);
    CHECK(values.organisations->at(0).priority == 1);
    CHECK_FALSE(codec.decode_config(R"({"Routes":[]})"));
    CHECK_FALSE(codec.decode_config("{"));
}

// Guards against a limit that becomes enormous because a number is negative or does not fit.
TEST_CASE("a configuration with numbers out of range cannot be read") {
    const auto readable = [](const std::string &before, const std::string &number, const std::string &after) {
        std::string text = R"({"Version":7,"Routes":[{"Host":"h","PathPrefix":"/","Service":"s")";
        text.append(before).append(number).append(after);
        return codec.decode_config(text).has_value();
    };
    CHECK(readable("", "", "}]}"));
    for (const std::string number : {"-1", "-0.5", "1e300", "\"7\"", "true", "[]", "18446744073709551615"}) {
        CAPTURE(number);
        for (const std::string field : {"TimeoutMs", "TargetLatencyMs", "GapAimMs", "Priority", "MaxAttempts"}) {
            CAPTURE(field);
            CHECK_FALSE(readable(",\"" + field + "\":", number, "}]}"));
        }
        for (const std::string field : {"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"}) {
            CAPTURE(field);
            CHECK_FALSE(readable("}],\"Limits\":{\"" + field + "\":", number, "}}"));
        }
        CHECK_FALSE(readable(R"(}],"Services":[{"Name":"s","MaxConnections":)", number, "}]}"));
        CHECK_FALSE(readable(R"(,"TrafficSplit":[{"Service":"s","Weight":)", number, "}]}]}"));
    }
}

// Guards against a quota that is read in another unit, and against one odd quota that stops an organisation's service
// or keeps a configuration from being adopted.
TEST_CASE("the quota of an organisation is decoded, and an odd part of it has a safe reading") {
    const auto quota = [](const std::string &fields) {
        const auto values =
            codec.decode_config(R"({"Version":7,"Routes":[],"Tenants":[{"Name":"o","ApiKeys":["k"])" + fields + "}]}");
        REQUIRE(values);
        return values.value().organisations->at(0).quota;
    };
    using limits::quota_unit;
    const limits::quota tokens{.rate = 711181, .burst = 5, .unit = quota_unit::tokens, .unstated_tokens = 200};
    CHECK(quota(R"(,"Unit":"tokens","PlainTokens":200,"RatePerS":711181,"Burst":5)") == tokens);
    const limits::quota requests{.rate = 2.5, .burst = 0, .unit = quota_unit::requests, .unstated_tokens = 1};
    CHECK(quota(R"(,"RatePerS":2.5)") == requests);
    for (const std::string none :
         {R"()", R"(,"RatePerS":0,"Burst":9)", R"(,"RatePerS":null)", R"(,"RatePerS":-1)", R"(,"RatePerS":"5")",
          R"(,"RatePerS":1e300)", R"(,"RatePerS":5,"Unit":"bytes")", R"(,"RatePerS":5,"Unit":3)"}) {
        CAPTURE(none);
        CHECK_FALSE(quota(none));
    }
    for (const std::string odd : {"-1", "\"5\"", "1e300"}) {
        CAPTURE(odd);
        CHECK(quota(R"(,"RatePerS":5,"Burst":)" + odd)->burst == 5);
        CHECK(quota(R"(,"Unit":"tokens","RatePerS":5,"PlainTokens":)" + odd)->unstated_tokens == 1);
    }
}

// Guards against a system that is open to everybody once the last organisation has been taken away.
TEST_CASE(
    "a configuration without organisations, one with an empty list and one that cannot be read are three things") {
    const auto needs_key = [](const std::string &tenants) {
        auto values = codec.decode_config(R"({"Version":7,"Routes":[])" + tenants + "}");
        return values ? std::optional{gateway::traffic_config{std::move(values.value())}.needs_key()} : std::nullopt;
    };
    CHECK(needs_key("") == false);
    CHECK(needs_key(R"(,"Tenants":[])") == true);
    CHECK(needs_key(R"(,"Tenants":[{"Name":"o","ApiKeys":[]}])") == true);
    CHECK(needs_key(R"(,"Tenants":[{"Name":"o"}])") == true);
    for (const std::string bad : {"null", "{}", "\"\"", "[1]", R"([{"Name":"o","ApiKeys":"k"}])"}) {
        CAPTURE(bad);
        CHECK(needs_key(R"(,"Tenants":)" + bad) == std::nullopt);
    }
}

// Guards against a list of routes or services that looks empty because it cannot be read.
TEST_CASE("a configuration whose lists cannot be read is not taken for an empty one") {
    for (const std::string bad : {"null", "{}", "7", "[7]"}) {
        CAPTURE(bad);
        CHECK_FALSE(codec.decode_config(R"({"Version":7,"Routes":)" + bad + "}"));
        CHECK_FALSE(codec.decode_config(R"({"Version":7,"Routes":[],"Services":)" + bad + "}"));
    }
    CHECK_FALSE(codec.decode_config(R"({"Version":7})"));
    CHECK_FALSE(codec.decode_config(R"({"Version":7,"Routes":[],"Limits":[]})"));
    CHECK(codec.decode_config(R"({"Version":7,"Routes":[]})"));
}

// Guards against entries of other writers that are mistaken for backend servers.
TEST_CASE("only complete and valid discovery entries are accepted as backend servers") {
    const auto it = codec.decode_server("i-1", entry);
    REQUIRE(it);
    CHECK(it.value().id == "i-1");
    CHECK(it.value().incarnation_start_ms == 1770096422686U);
    CHECK(it.value().sequence == 4);
    CHECK(it.value().stage == gateway::engine_stage::decode);
    CHECK(it.value().failure_domain == "rajkot");
    CHECK(it.value().warmup_remaining == 1500ms);
    CHECK_FALSE(it.value().draining);
    CHECK(codec.decode_server("i-1", with(R"("ready")", R"("draining")")).value().draining);
    CHECK_FALSE(codec.decode_server("i-1", with(R"("ready")", R"("resting")")));
    CHECK_FALSE(codec.decode_server("i-1", with(R"("decode")", R"("other")")));
    CHECK_FALSE(codec.decode_server("i-1", with(R"("Slots":12)", R"("Slots":"12")")));
    CHECK_FALSE(codec.decode_server("i-1", with("10.128.0.9:8080", "nowhere")));
    CHECK_FALSE(codec.decode_server("i-1", with("1770096422686", "1.5")));
    CHECK_FALSE(codec.decode_server("i-1", "\"text\""));
    for (const std::string bad : {"true", "6.5", "-1", "4294967296", "null", "0"}) {
        CAPTURE(bad);
        CHECK_FALSE(codec.decode_server("i-1", with(R"("Slots":12)", R"("Slots":)" + bad)));
    }
    for (const std::string bad : {"true", "1.5", "-1", "null"}) {
        CAPTURE(bad);
        CHECK_FALSE(codec.decode_server("i-1", with(R"("Sequence":4)", R"("Sequence":)" + bad)));
    }
    for (const std::string bad : {"true", "\"0\"", "-1", "null", "1e300"}) {
        CAPTURE(bad);
        CHECK_FALSE(codec.decode_server("i-1", with(R"("ColdRemainingMs":1500)", R"("ColdRemainingMs":)" + bad)));
    }
    for (const std::string field :
         {R"("Service":"s",)", R"("Address":"10.128.0.9:8080",)", R"("Zone":"rajkot",)", R"("Version":"v1",)",
          R"("Slots":12,)", R"("State":"ready",)", R"("ColdRemainingMs":1500,)", R"("Sequence":4,)"}) {
        CAPTURE(field);
        CHECK_FALSE(codec.decode_server("i-1", with(field, "")));
    }
    CHECK_FALSE(codec.decode_server("i-1", with(R"("Version":"v1")", R"("Version":1)")));
    CHECK_FALSE(codec.decode_server("i-1", "\xff\xfe"));
}
