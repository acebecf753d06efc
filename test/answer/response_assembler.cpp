#include "answer/response_assembler.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack::answer;

// Guards against a line format that loses a field or accepts invalid lines.
TEST_CASE("chunk lines survive a round trip") {
    const chunk it{"r", 2, 7, "a \"quoted\" word\n"};
    const auto line = encode_line(it);
    REQUIRE(line.find('\n') == line.size() - 1);
    const auto back = decode_line(std::string_view{line}.substr(0, line.size() - 1));
    REQUIRE(back);
    CHECK(std::get<chunk>(back.value()).text == it.text);
    CHECK(std::get<chunk>(back.value()).offset == 7);
    CHECK_FALSE(decode_line("{}"));
    CHECK_FALSE(decode_line("not json"));
}

// Guards against tokens of an earlier attempt, repeated tokens and skipped tokens in a response.
TEST_CASE("only the current attempt's next token is delivered") {
    response_assembler it{"r"};
    it.begin_attempt(1);
    CHECK(it.accept(chunk{"r", 1, 0, "a"}) == assembler_action::deliver);
    it.begin_attempt(2);
    CHECK(it.accept(chunk{"r", 1, 1, "late"}) == assembler_action::ignore);
    CHECK(it.accept(chunk{"other", 2, 1, "crossed"}) == assembler_action::ignore);
    CHECK(it.accept(chunk{"r", 2, 0, "repeated"}) == assembler_action::ignore);
    CHECK(it.accept(chunk{"r", 2, 1, "b"}) == assembler_action::deliver);
    CHECK(it.accept(chunk{"r", 2, 3, "skips"}) == assembler_action::resume);
    CHECK(it.next_offset() == 2);
}

// Guards against a response that is reported as complete although its last token is missing.
TEST_CASE("a total that does not match asks for a resume") {
    response_assembler it{"r"};
    it.begin_attempt(1);
    CHECK(it.accept(chunk{"r", 1, 0, "a"}) == assembler_action::deliver);
    CHECK(it.accept(chunk_end{"r", 1, 2, 1, "stop"}) == assembler_action::resume);
    CHECK_FALSE(it.complete());
    it.begin_attempt(2);
    CHECK(it.accept(chunk{"r", 2, 1, "b"}) == assembler_action::deliver);
    CHECK(it.accept(chunk_end{"r", 1, 2, 1, "stop"}) == assembler_action::ignore);
    CHECK(it.accept(chunk_end{"r", 2, 2, 1, "stop"}) == assembler_action::complete);
}
