#include "config/config_log.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

// Guards against a head that changes when it is encoded and decoded.
TEST_CASE("a head is unchanged after encoding and decoding") {
    const auto chain = test::make_chain(5);
    const auto got = config::decode_head(test::head_text(chain, 5, 2));
    REQUIRE(got);
    CHECK(got.value().version == 5);
    CHECK(got.value().snapshot_version == 2);
    CHECK(std::equal(got.value().changes.begin(), got.value().changes.end(), chain.begin() + 2, chain.end()));
}

// Guards against accepting a damaged head as a configuration with fewer changes.
TEST_CASE("a head with a gap, a wrong end or missing fields is refused") {
    const auto chain = test::make_chain(5);
    config::head broken{5, 0, 0, {chain[0], chain[1], chain[3], chain[4]}};
    CHECK_FALSE(config::decode_head(config::encode_head(broken)));
    broken.changes = {chain[0], chain[1]};
    CHECK_FALSE(config::decode_head(config::encode_head(broken)));
    broken.changes = {chain[2], chain[3], chain[4]};
    CHECK_FALSE(config::decode_head(config::encode_head(broken)));
    CHECK_FALSE(config::decode_head("{\"version\":1}"));
    CHECK_FALSE(config::decode_head("not json"));
}

// Guards against a snapshot that loses items or their authors, and against decoding an incomplete set of parts.
TEST_CASE("a snapshot in several parts gives the same state") {
    config::declarations large = test::sample_declarations();
    for (int n = 0; n < 3000; ++n) {
        const auto name = "org" + std::to_string(n);
        large.organisations[name] = {name, std::string(400, 'd')};
    }
    const auto first =
        config::apply_change(std::make_shared<const config::config_state>(), test::make_change(1, {}, large));
    REQUIRE(first);
    const auto parts = config::encode_snapshot(*first.value());
    CHECK(parts.size() > 1);
    for (const auto &it : parts) {
        CHECK(it.size() <= config::part_limit);
    }
    const auto copy = config::decode_snapshot(parts);
    REQUIRE(copy);
    CHECK(copy.value()->version() == 1);
    CHECK(copy.value()->change_id() == "id1");
    CHECK(copy.value()->values() == large);
    CHECK(copy.value()->origins() == first.value()->origins());
    CHECK(config::encode_snapshot(*copy.value()) == parts);
    CHECK_FALSE(config::decode_snapshot(std::span{parts}.subspan(1)));
}

// Guards against skipping a change, and against applying a change to other values than those it replaces.
TEST_CASE("changes apply in order, once, and only to the values they replace") {
    const auto chain = test::make_chain(4);
    const auto two = test::state_after(chain, 2);
    REQUIRE(two);
    const auto four = config::apply_changes(two, chain);
    REQUIRE(four);
    CHECK(four.value()->version() == 4);
    CHECK(four.value()->find_row("north", "drafting")->concurrency == 104);
    CHECK(four.value()->origin_of("row/north/drafting")->version == 4);
    CHECK(config::apply_change(two, chain[3]).error().kind == base::error_kind::not_found);
    auto foreign = chain[2];
    foreign.items.front().before["concurrency"] = 7;
    CHECK(config::apply_change(two, foreign).error().code == "config_diverged");
    auto same_version = chain[1];
    same_version.id = "other";
    CHECK(config::apply_change(two, same_version).error().code == "config_diverged");
}
