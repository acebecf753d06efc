#include "agent/completion_relay.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterelstack;

// Guards against an agent that ends because an engine sends a field of another type (review/3, related path).
TEST_CASE("events of an engine with fields of another type end no process, and sound ones go on") {
    std::vector<std::string> lines;
    agent::completion_relay subject{"r1", 1, 0, [&lines](std::string_view line) {
                                        lines.emplace_back(line);
                                        return true;
                                    }};
    for (const std::string event :
         {R"({"usage":{"prompt_tokens":"7"}})", R"({"usage":{"prompt_tokens":-7}})", R"({"usage":[]})",
          R"({"choices":"text"})", R"({"choices":{"0":1}})", R"({"choices":[7]})", R"({"choices":[{"delta":[]}]})",
          R"({"choices":[{"text":7,"finish_reason":7}]})"}) {
        CAPTURE(event);
        CHECK(subject.feed("data: " + event + "\n\n"));
        CHECK(lines.empty());
    }
    CHECK(subject.feed("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"));
    CHECK(lines.size() == 2);
    CHECK(subject.complete());
    agent::completion_relay other{"r2", 1, 0, [](std::string_view) { return true; }};
    CHECK_FALSE(other.feed("data: " + std::string(300'000, '[') + std::string(300'000, ']') + "\n\n"));
}

// Guards against an agent that ends because printing a caller's request for the engine needs more stack than there is.
TEST_CASE("a completion that is nested too deeply is refused") {
    const std::string nested = std::string(300'000, '[') + std::string(300'000, ']');
    const auto refused =
        agent::engine_request(R"({"model":"m","tools":)" + nested + "}", "/v1/completions", "r1", 0, 0);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == "bad_body");
    CHECK(agent::engine_request(R"({"model":"m","tools":[[]]})", "/v1/completions", "r1", 0, 0));
}
