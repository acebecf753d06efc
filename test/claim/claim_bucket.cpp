#include "claim/claim_bucket.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

// Guards against different keys that are mapped to the same claim.
TEST_CASE("claim keys distinguish organisation, service and key") {
    CHECK(claim::claim_key("a", "bc", "d") != claim::claim_key("ab", "c", "d"));
    CHECK(claim::claim_key("a", "b", "c") == claim::claim_key("a", "b", "c"));
    CHECK(claim::bucket_of(claim::claim_key("a", "b", "c"), 7) < 7);
}

// Guards against treating an unreadable bucket as empty, which would lose its claims.
TEST_CASE("an unreadable bucket is an error, an absent one is empty") {
    CHECK(claim::parse_bucket(std::nullopt).value().claims.empty());
    CHECK_FALSE(claim::parse_bucket(store::object{"claim/0", 1, "{}"}));
    CHECK_FALSE(claim::parse_bucket(store::object{"claim/0", 1, "no json"}));
}
