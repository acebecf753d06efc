#include "config/route.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

// Guards against a pattern that matches too much and so makes other calls public or repeatable.
TEST_CASE("patterns match complete paths, segment by segment") {
    CHECK(config::path_matches("/slots/*", "/slots/7"));
    CHECK_FALSE(config::path_matches("/slots/*", "/slots/"));
    CHECK_FALSE(config::path_matches("/slots/*", "/slots/7/cancel"));
    CHECK_FALSE(config::path_matches("/slots/*", "/slots"));
    CHECK_FALSE(config::path_matches("/slots", "/slotsx"));
    CHECK(config::path_matches("/a/**", "/a/b/c"));
    CHECK_FALSE(config::path_matches("/a/**", "/ab/c"));
    CHECK_FALSE(config::path_matches("/a/**/b", "/a/x/b/c"));
    const auto values = test::sample_declarations();
    const auto &booking = values.services.at("booking");
    REQUIRE(config::find_route(booking, "GET", "/slots/1") != nullptr);
    CHECK(config::find_route(booking, "GET", "/slots/1")->is_public);
    CHECK(config::find_route(booking, "POST", "/slots/1") == nullptr);
}
