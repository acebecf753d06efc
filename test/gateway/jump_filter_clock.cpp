#include "gateway/jump_filter_clock.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct fixture {
    base::manual_clock steady;
    std::int64_t offset{1'000'000};
    gateway::jump_filter_clock subject{
        steady,
        [this] { return static_cast<std::uint64_t>(offset + base::to_milliseconds(steady.now().time_since_epoch())); },
        {.tolerance = 100ms, .accept_after = 60s}};
};

} // namespace

// The time of day jumps by seconds on some hosts and back again. Guards against requests that are counted in the wrong
// usage window meanwhile.
TEST_CASE("a jump of the time of day is not followed") {
    fixture it;
    for (const std::int64_t jump : {2'400, -2'400}) {
        it.steady.advance(1s);
        const auto before = it.subject.now();
        it.offset += jump;
        it.steady.advance(1s);
        CHECK(it.subject.now() == before + 1000);
        it.steady.advance(5s);
        CHECK(it.subject.now() == before + 6000);
        it.offset -= jump;
        it.steady.advance(1s);
        CHECK(it.subject.now() == before + 7000);
    }
}

// Guards against a clock that stays wrong after the system clock has been corrected, and against drift.
TEST_CASE("a lasting correction and slow drift of the time of day are followed") {
    fixture it;
    const auto before = it.subject.now();
    for (int n = 0; n < 50; ++n) {
        it.steady.advance(1s);
        it.offset += 10;
        (void)it.subject.now();
    }
    CHECK(it.subject.now() == before + 50'500);
    it.offset += 5'000;
    it.steady.advance(1s);
    CHECK(it.subject.now() == before + 51'500);
    it.steady.advance(61s);
    CHECK(it.subject.now() == before + 117'500);
}
