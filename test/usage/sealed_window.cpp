#include "usage/sealed_window.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

namespace {

usage::usage_batch batch(const std::string &owner, std::uint64_t window, std::uint64_t first, std::uint64_t last) {
    usage::usage_batch out{owner, window, {}};
    for (auto it = first; it <= last; ++it) {
        out.records.push_back({"", "org", "drafting", 10, 2, owner, it, window});
    }
    return out;
}

} // namespace

// Guards against counting the records of overlapping batches twice, and against late records that change a sealed
// window.
TEST_CASE("overlapping batches count once, late records become corrections, records of later windows are skipped") {
    const auto first =
        usage::aggregate_window(1, {}, {batch("a", 1, 1, 5), batch("a", 1, 4, 7), batch("a", 2, 8, 9)}, 9);
    REQUIRE(first.figures.size() == 1);
    CHECK(first.figures[0].requests == 7);
    CHECK(first.figures[0].prompt_tokens == 70);
    const auto second =
        usage::aggregate_window(2, first.covered, {batch("a", 1, 1, 7), batch("b", 1, 1, 2), batch("a", 2, 8, 9)}, 9);
    REQUIRE(second.figures.size() == 2);
    CHECK(second.figures[0].correction_of == 0);
    CHECK(second.figures[0].requests == 2);
    CHECK(second.figures[1].correction_of == 1);
    CHECK(second.figures[1].requests == 2);
    CHECK(usage::is_covered(batch("a", 1, 1, 7), second, 9));
    CHECK_FALSE(usage::is_covered(batch("a", 3, 9, 10), second, 9));
    const store::object item{"usage/sealed/2", 4, usage::to_json(second).dump()};
    CHECK(usage::to_json(usage::parse_sealed(item).value()) == usage::to_json(second));
}

// Guards against billing a record again after its owner has been removed from the coverage.
TEST_CASE("records older than the coverage are rejected and counted as too old") {
    auto sealed = usage::aggregate_window(1, {}, {batch("a", 1, 1, 3)}, 2);
    for (std::uint64_t window = 2; window <= 6; ++window) {
        sealed = usage::aggregate_window(window, sealed.covered, {batch("a", 1, 1, 3)}, 2);
        CHECK(sealed.figures.empty());
    }
    CHECK(sealed.covered.empty());
    CHECK(sealed.too_old == 3);
}
