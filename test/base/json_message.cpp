#include "base/json_message.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterelstack;

// Guards against a message that needs more stack than there is as soon as it is copied or printed.
TEST_CASE("messages that are nested too deeply are not parsed") {
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK_FALSE(base::parse_message(nested(base::max_message_depth)).is_discarded());
    CHECK(base::parse_message(nested(base::max_message_depth + 2)).is_discarded());
    CHECK(base::parse_message(R"({"a":)" + nested(300'000) + "}").is_discarded());
    CHECK(base::parse_message(std::string(1'000'000, '[')).is_discarded());
    for (const auto *text : {"", "{", R"({"a":1e999})", "\"\xff\"", "{a:1}"}) {
        CAPTURE(text);
        CHECK(base::parse_message(text).is_discarded());
    }
    CHECK(base::parse_message(R"({"a":[1]})")["a"][0] == 1);
}

// Guards against a process that ends because a field has another type than expected.
TEST_CASE("fields of another type or range count as missing") {
    const auto message = base::parse_message(
        R"({"text":"x","flag":true,"count":7,"negative":-1,"fraction":1.5,"large":4294967296,"list":["a"],"odd":["a",1]})");
    CHECK(base::field_or(message, "text", std::string{}) == "x");
    CHECK(base::field_or(message, "flag", false));
    CHECK(base::field_or(message, "count", 0U) == 7);
    CHECK(base::field_or(message, "large", std::uint64_t{0}) == 4294967296);
    CHECK(base::field_or(message, "list", std::vector<std::string>{}).size() == 1);
    for (const auto *name : {"text", "flag", "negative", "fraction", "large", "list", "none"}) {
        CAPTURE(name);
        CHECK(base::field_or(message, name, 3U) == 3);
    }
    CHECK(base::field_or(message, "count", std::string{"other"}) == "other");
    CHECK_FALSE(base::field_or(message, "count", false));
    CHECK(base::field_or(message, "odd", std::vector<std::string>{}).empty());
    for (const auto *text : {"[]", "7", "null", "\"text\"", ""}) {
        CAPTURE(text);
        CHECK(base::field_or(base::parse_message(text), "text", std::string{"none"}) == "none");
    }
}
