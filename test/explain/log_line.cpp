#include "explain/log_line.hpp"

#include <doctest/doctest.h>

#include "log/event.hpp"

using namespace dotterelstack;

// Guards against a parser that loses field values which the writer quotes.
TEST_CASE("a written event is parsed back field by field") {
    const auto text =
        log::format("request_refused", {{"request", "a1"}, {"reason", "say \"no\" = now"}, {"status", 503}});
    const auto line = explain::parse_line("I20261204 06:15:49.123456    41 event.cpp:106] " + text);
    REQUIRE(line);
    CHECK(line->time == "20261204 06:15:49.123456");
    CHECK(line->event == "request_refused");
    CHECK(line->value("request") == "a1");
    CHECK(line->value("reason") == "say \"no\" = now");
    CHECK(line->value("status") == "503");
    CHECK(line->value("absent").empty());
}

// Guards against stopping at lines that are not events, such as start-up output or truncated events.
TEST_CASE("lines that are not events are skipped") {
    for (const auto *text : {"", "listening callers 127.0.0.1:80", "E1901", "] E1901 event", " event=x ] E1"}) {
        CHECK_FALSE(explain::parse_line(text));
    }
    CHECK(explain::parse_line("I2 3 4 f:1] E1 event=x a=\"b"));
}
