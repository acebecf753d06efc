#include "config/item.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

// Guards against a field that is lost between memory, store and files.
TEST_CASE("all items survive the way through JSON") {
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

// Guards against an invalid value that reaches the configuration, and against a value under another item's name.
TEST_CASE("an item refuses a wrong value and stays unchanged") {
    auto values = test::sample_declarations();
    const auto before = values;
    CHECK_FALSE(config::set_item(values, "row/north/booking", {{"organisation", "north"}}));
    CHECK_FALSE(config::set_item(values, "organisation/east", {{"name", "west"}}));
    CHECK_FALSE(config::set_item(values, "key/k", {{"id", "k"}, {"organisation", "north"}, {"sha256", "abc"}}));
    CHECK(values == before);
}
