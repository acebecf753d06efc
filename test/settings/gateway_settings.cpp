#include "settings/gateway_settings.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

const std::string text = R"({
    // comments are permitted
    "name": "front-1", "failure_domain": "east",
    "listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
    "store": "127.0.0.1:4000",
    "bounds": {"stop_grace_s": 8, "usage_window_s": 2.5, "retry_ratio": 0.2, "retry_allowance": 58, "quota_tolerance": 190000}
})";

} // namespace

// Guards against reading bounds in seconds as milliseconds.
TEST_CASE("gateway settings are read with their units") {
    const auto it = settings::parse_gateway_settings("f", text);
    REQUIRE(it);
    CHECK(it.value().bounds.stop_grace == 8s);
    CHECK(it.value().bounds.usage_window == 2500ms);
    CHECK(it.value().bounds.retry_allowance == 58);
    CHECK(it.value().bounds.quota_tolerance == 190000);
    CHECK(it.value().duties.empty());
}

// A platform that derives its bounds from the size of a site writes fractions. Guards against a site that does not
// start because of them.
TEST_CASE("bounds may be fractions, and whole numbers may be written with a decimal point") {
    const auto it = settings::parse_gateway_settings(
        "f", text, {"bounds.retry_allowance=38.26", "bounds.drain_ms=2000.5", "descriptors=4100.0", "memory_mb=160.5"});
    REQUIRE(it);
    CHECK(it.value().bounds.retry_allowance == doctest::Approx(38.26));
    CHECK(it.value().bounds.drain == 2000500us);
    CHECK(it.value().descriptors == 4100);
    CHECK(it.value().memory_mb == doctest::Approx(160.5));
    CHECK_FALSE(settings::parse_gateway_settings("f", text, {"memory_mb=31"}));
    CHECK_FALSE(settings::parse_gateway_settings("f", text, {"descriptors=4100.5"}));
}

// Guards against a process that starts with invalid settings.
TEST_CASE("every problem of gateway settings is listed") {
    const auto it = settings::parse_gateway_settings(
        "f", text, {"store=nowhere", "bounds.retry_ratio=-1", "timings.watch_wait_ms=1", "unknown=1"});
    REQUIRE_FALSE(it);
    for (const auto *name : {"store", "bounds.retry_ratio", "timings.watch_wait_ms", "unknown"}) {
        CHECK(it.error().message.find(name) != std::string::npos);
    }
}

// Guards against detecting a silent connection to the store only after the contact time, when the rules must hold
// again.
TEST_CASE("the watch wait and the store time-out fit into the contact time") {
    auto it = settings::parse_gateway_settings("f", text).value();
    CHECK(settings::effective_watch_wait(it) == 1500ms);
    it.bounds.contact = 4s;
    CHECK(settings::effective_watch_wait(it) == 2500ms);
    it.bounds.contact = 1s;
    CHECK(settings::effective_watch_wait(it) > 0ms);
    it.timings.watch_wait = 100ms;
    CHECK(settings::effective_watch_wait(it) == 100ms);
}
