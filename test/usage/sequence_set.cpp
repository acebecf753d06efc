#include "usage/sequence_set.hpp"

#include <doctest/doctest.h>

using dotterelstack::usage::sequence_set;

// Guards against a set that grows with every number, although adjacent ranges can be merged, or that loses a number.
TEST_CASE("sequence numbers merge into ranges") {
    sequence_set it;
    for (const std::uint64_t n : {5, 1, 3, 2, 7}) {
        CHECK(it.insert(n));
    }
    CHECK_FALSE(it.insert(2));
    CHECK(it.range_count() == 3);
    CHECK(it.insert(4));
    CHECK(it.insert(6));
    CHECK(it.to_json() == nlohmann::json::parse("[[1,7]]"));
    CHECK_FALSE(it.contains(0));
    CHECK_FALSE(it.contains(8));
    CHECK(sequence_set::from_json(it.to_json()).contains(7));
}
