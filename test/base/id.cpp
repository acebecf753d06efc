#include "base/id.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

// Guards against a hash that differs from the published test vector, which would invalidate all stored keys.
TEST_CASE("sha256 matches the FIPS 180-2 vector") {
    CHECK(base::sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against replays that differ between runs.
TEST_CASE("ids from one seed repeat and differ from each other") {
    base::id_source a{5};
    base::id_source b{5};
    const auto first = a.next();
    CHECK(first == b.next());
    CHECK(first != a.next());
    CHECK(first.size() == 32);
}
