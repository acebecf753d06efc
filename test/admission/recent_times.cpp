#include "admission/recent_times.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr admission::work_class checks{"llm", 0};
constexpr admission::work_class reads{"desk", 0};

} // namespace

// A flood through many gateways: each knows little of what the others send. Guards against estimates that stay at the
// time of an idle server while all answers take half a second longer.
TEST_CASE("answers that take longer than estimated lengthen the next estimates of their class") {
    base::manual_clock clock;
    admission::recent_times subject{clock};
    for (int n = 0; n < 40; ++n) {
        clock.advance(25ms);
        subject.record(checks, 600ms);
    }
    CHECK(subject.corrected(checks, 100ms) > 450ms);
    CHECK(subject.corrected(reads, 100ms) == 100ms);
}

// The flood is over, and nothing was admitted meanwhile. Guards against refusals that last because no answer corrects
// the estimate.
TEST_CASE("without new answers the estimate holds again") {
    base::manual_clock clock;
    admission::recent_times subject{clock};
    for (int n = 0; n < 400; ++n) {
        subject.record(checks, 600ms);
    }
    clock.advance(1s);
    CHECK(subject.corrected(checks, 100ms) < 250ms);
}

// Low load, and servers that are known to be slow now. Guards against refusals after a single slow answer, and against
// estimates that fast answers of the past make too short.
TEST_CASE("single slow answers say little, and fast ones nothing") {
    base::manual_clock clock;
    admission::recent_times subject{clock};
    subject.record(checks, 500ms);
    CHECK(subject.corrected(checks, 100ms) <= 200ms);
    for (int n = 0; n < 10; ++n) {
        subject.record(checks, 10ms);
    }
    CHECK(subject.corrected(checks, 300ms) == 300ms);
}
