#include "config/item.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

// Guards against a field that is lost when an item is encoded and decoded.
TEST_CASE("all items are unchanged after encoding and decoding") {
    auto values = test::sample_declarations();
    values.planned["p1"] = {"p1",
                            config::planned_kind::set_role,
                            "b1",
                            "",
                            "rajkot",
                            "prefill",
                            "alice",
                            config::planned_state::running,
                            "2 requests left"};
    config::declarations copy;
    for (const auto &[item, value] : config::to_items(values)) {
        const auto parsed = nlohmann::json::parse(value.dump());
        REQUIRE(config::set_item(copy, item, parsed));
        CHECK(config::find_item(copy, item) == value);
        CHECK(config::item_digest(parsed) == config::item_digest(value));
    }
    CHECK(copy == values);
    CHECK(config::set_item(copy, "row/north/booking", nullptr));
    CHECK(config::find_item(copy, "row/north/booking").is_null());
}

// Guards against an invalid value in the configuration, and against a value whose name differs from its item.
TEST_CASE("a wrong value is refused and the declarations stay unchanged") {
    auto values = test::sample_declarations();
    const auto before = values;
    CHECK_FALSE(config::set_item(values, "row/north/booking", {{"organisation", "north"}}));
    CHECK_FALSE(config::set_item(values, "organisation/east", {{"name", "west"}}));
    CHECK_FALSE(config::set_item(values, "key/k", {{"id", "k"}, {"organisation", "north"}, {"sha256", "abc"}}));
    CHECK(values == before);
}
