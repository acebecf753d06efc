#include "gateway/event_splitter.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using dotterelstack::gateway::event_splitter;

// Guards against events that are split or merged depending on packet boundaries.
TEST_CASE("events are complete wherever the input is split") {
    const std::string text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        event_splitter it;
        std::string joined;
        std::vector<std::optional<std::uint64_t>> ids;
        for (const auto &part : {text.substr(0, cut), text.substr(cut)}) {
            it.feed(part);
            while (const auto event = it.next()) {
                joined += event->text;
                ids.push_back(event->id);
            }
        }
        CHECK(joined == text);
        CHECK(ids == std::vector<std::optional<std::uint64_t>>{7, 8, std::nullopt});
        CHECK_FALSE(it.partial());
    }
}

// Guards against forwarding an incomplete event.
TEST_CASE("an incomplete event is buffered") {
    event_splitter it;
    it.feed("id: 1\ndata: x\n");
    CHECK_FALSE(it.next());
    CHECK(it.partial());
}
