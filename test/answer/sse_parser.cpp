#include "answer/sse_parser.hpp"

#include <doctest/doctest.h>
#include <vector>

using dotterelstack::answer::sse_parser;

// Guards against events that are lost or merged when the network splits the stream inside an event.
TEST_CASE("events do not depend on how the stream is split into parts") {
    const std::string text = "data: one\n\n: comment\nevent: x\ndata: two\r\ndata:three\r\n\r\ndata: unfinished";
    for (std::size_t cut = 1; cut <= text.size(); ++cut) {
        std::vector<std::string> got;
        sse_parser it{[&got](std::string_view data) {
            got.emplace_back(data);
            return true;
        }};
        for (std::size_t at = 0; at < text.size(); at += cut) {
            CHECK(it.feed(std::string_view{text}.substr(at, cut)));
        }
        CHECK(got == std::vector<std::string>{"one", "two\nthree"});
    }
}
