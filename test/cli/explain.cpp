#include <doctest/doctest.h>

#include "cli/fixture.hpp"

using namespace dotterelstack;

// Guards against including events of other requests, and against wrong order when events come from several logs.
TEST_CASE("explain merges the events of one request from several logs") {
    test::cli_fixture it;
    const auto write = [&it](const std::string &name, const std::string &text) {
        std::ofstream{it.root / name} << text;
        return (it.root / name).string();
    };
    const auto second = write("b.log", "I20261204 06:00:02.0 1 e:1] E1904 event=request_finished request=r1 status=200 "
                                       "outcome=served\nnoise request=r1\n");
    const auto first = write("a.log", "I20261204 06:00:01.0 1 e:1] E1901 event=request_placed request=r1 backend=x\n"
                                      "I20261204 06:00:01.5 1 e:1] E1901 event=request_placed request=r10 backend=y\n");
    CHECK(it.run({"explain", "r1", second, first}, false) == 0);
    const auto placed = it.out.find("request_placed request=r1 backend=x");
    const auto finished = it.out.find("request_finished");
    REQUIRE(placed != std::string::npos);
    CHECK(placed < finished);
    CHECK(it.out.find("r10") == std::string::npos);
    CHECK(it.out.find("end:    200 served") != std::string::npos);
    CHECK(it.run({"explain", "r2", first}, false) == 1);
    CHECK(it.run({"explain", "r1", (it.root / "none.log").string()}, false) == 2);
    CHECK(it.run({"explain"}, false) == 2);
}
