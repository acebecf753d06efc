#include "config/config_state.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

// Guards against lookups that miss an item or return a withdrawn key.
TEST_CASE("lookups find keys, rows and services") {
    auto values = test::sample_declarations();
    values.keys["key-south"].withdrawn = true;
    const config::config_state state{4, "x", values, {}};
    REQUIRE(state.find_active_key(base::sha256_hex("dsk_north")) != nullptr);
    CHECK(state.find_active_key(base::sha256_hex("dsk_north"))->organisation == "north");
    CHECK(state.find_active_key(base::sha256_hex("dsk_south")) == nullptr);
    CHECK(state.find_active_key("") == nullptr);
    REQUIRE(state.find_row("south", "booking") != nullptr);
    CHECK(state.find_row("south", "booking")->concurrency == 4);
    CHECK(state.find_row("south", "cutting") == nullptr);
    CHECK(state.find_service("booking") != nullptr);
    REQUIRE(state.find_service_of_model("m1") != nullptr);
    CHECK(state.find_service_of_model("m1")->name == "drafting");
}
