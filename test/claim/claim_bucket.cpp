#include "claim/claim_bucket.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

// Guards against two keys that share one claim.
TEST_CASE("claim keys keep organisation, service and key apart") {
    CHECK(claim::claim_key("a", "bc", "d") != claim::claim_key("ab", "c", "d"));
    CHECK(claim::claim_key("a", "b", "c") == claim::claim_key("a", "b", "c"));
    CHECK(claim::bucket_of(claim::claim_key("a", "b", "c"), 7) < 7);
}

// Guards against taking an unreadable bucket for an empty one, which would forget its claims.
TEST_CASE("a broken bucket is an error, an absent one is empty") {
    CHECK(claim::parse_bucket(std::nullopt).value().claims.empty());
    CHECK_FALSE(claim::parse_bucket(store::object{"claim/0", 1, "{}"}));
    CHECK_FALSE(claim::parse_bucket(store::object{"claim/0", 1, "no json"}));
}
