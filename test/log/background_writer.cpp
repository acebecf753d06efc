#include "log/background_writer.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <latch>

#include "log/capture.hpp"

using namespace dotterelstack;

// Guards against a stuck reader of the log that stops request threads, and against dropped lines that nobody hears of.
TEST_CASE("write does not block while the log is stuck; dropped lines are counted") {
    std::latch first{1};
    std::latch reader{1};
    bool started = false;
    test::log_capture seen{[&] {
        if (!std::exchange(started, true)) {
            first.count_down();
            reader.wait();
        }
    }};
    {
        log::background_writer writer{2};
        log::write("host_live", {{"n", 0}});
        first.wait();
        for (int n = 1; n <= 5; ++n) {
            log::write("host_live", {{"n", n}});
        }
        CHECK(writer.dropped() == 3);
        reader.count_down();
    }
    const auto lines = seen.lines();
    REQUIRE(lines.size() == 4);
    CHECK(lines[0] == "E1301 event=host_live n=0");
    CHECK(lines[1] == "E1504 event=ring_dropped ring=log count=3");
    CHECK(lines[3] == "E1301 event=host_live n=2");
}

// Guards against lines lost at a graceful stop, and against writing to a writer that is gone.
TEST_CASE("waiting lines are written at the end, later ones directly") {
    test::log_capture seen;
    {
        const log::background_writer writer;
        for (int n = 0; n < 100; ++n) {
            log::write("host_live", {{"n", n}});
        }
    }
    CHECK(seen.lines().size() == 100);
    log::write("process_stopped");
    CHECK(seen.lines().back() == "E1003 event=process_stopped");
}
