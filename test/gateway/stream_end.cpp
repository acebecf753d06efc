#include "gateway/stream_end.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterelstack;

namespace {

/** Where an attempt ends. */
enum class point {
    before_first_event,
    inside_event,
    after_known_events, /**< The server has repeated events that the caller has. */
    after_new_event
};

struct outcome {
    point where;
    bool whole;
};

struct row {
    std::string attempt;
    gateway::stream_end end;
    std::vector<outcome> outcomes;
};

gateway::stream_end at(gateway::stream_end it, point where) {
    it.inside_event = where == point::inside_event;
    it.new_event = where == point::after_new_event;
    return it;
}

} // namespace

// Guards against a stream that looks complete because its last attempt ended before it had anything to say.
TEST_CASE("a stream is whole after a new event, or when a framed answer shows that nothing is left") {
    using enum point;
    const std::vector<row> rows{
        {"first, framed",
         {.framed = true},
         {{before_first_event, false}, {inside_event, false}, {after_new_event, true}}},
        {"first, ends with its connection",
         {},
         {{before_first_event, false}, {inside_event, false}, {after_new_event, true}}},
        {"resumed, framed",
         {.framed = true, .resumed = true},
         {{before_first_event, true}, {inside_event, false}, {after_known_events, true}, {after_new_event, true}}},
        {"resumed, ends with its connection",
         {.resumed = true},
         {{before_first_event, false}, {inside_event, false}, {after_known_events, false}, {after_new_event, true}}},
        {"resumed inside an event, framed",
         {.framed = true, .resumed = true, .more_expected = true},
         {{before_first_event, false}, {inside_event, false}, {after_known_events, false}, {after_new_event, true}}},
        {"resumed inside an event, ends with its connection",
         {.resumed = true, .more_expected = true},
         {{before_first_event, false}, {inside_event, false}, {after_known_events, false}, {after_new_event, true}}},
    };
    for (const auto &it : rows) {
        for (const auto &expected : it.outcomes) {
            CAPTURE(it.attempt);
            CAPTURE(static_cast<int>(expected.where));
            CHECK(gateway::is_whole(at(it.end, expected.where)) == expected.whole);
        }
    }
}
