#include "platform/http_protocol.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

const platform::http_protocol protocol;

http::request message(http::field_list fields) {
    fields.push_back({"Host", "site.example"});
    return {"POST", "/a/b?c=d", std::move(fields), "body"};
}

} // namespace

// Guards against request properties that are read from the wrong header.
TEST_CASE("the properties of a request are decoded from its headers") {
    const auto it = protocol.decode_request(message({{"Attempt-Id", "a1"},
                                                     {"Authorization", "Bearer k1"},
                                                     {"Model", "m"},
                                                     {"Token-Usage", "1460,80"},
                                                     {"Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410"},
                                                     {"Deadline-Ms", "5000"},
                                                     {"Last-Event-Id", "12"}}));
    REQUIRE(it);
    const auto &facts = it.value().facts;
    CHECK(facts.id == "a1");
    CHECK(facts.key == "k1");
    CHECK(facts.host == "site.example");
    CHECK(facts.model == "m");
    CHECK(facts.prompt_tokens == 1460);
    CHECK(facts.max_output_tokens == 80);
    REQUIRE(facts.prompt.size() == 2);
    CHECK(facts.prompt[0].id == 0x5c1e07a2);
    CHECK(facts.prompt[1].tokens == 410);
    CHECK(facts.time_left == 5s);
    CHECK(facts.last_event == 12);
    CHECK(it.value().message.target == "/a/b?c=d");
    CHECK(it.value().message.body == "body");
}

// Guards against requests that two recipients interpret differently because a field occurs twice.
TEST_CASE("requests without id or with duplicate fields are malformed") {
    CHECK_FALSE(protocol.decode_request(message({})));
    CHECK_FALSE(protocol.decode_request(message({{"Attempt-Id", "a"}, {"attempt-id", "b"}})));
    CHECK_FALSE(
        protocol.decode_request(message({{"Attempt-Id", "a"}, {"Authorization", "x"}, {"Authorization", "y"}})));
}

// Guards against evidence that is accepted although it belongs to another request or proves nothing.
TEST_CASE("evidence about whether a request ran is read from answers") {
    CHECK(protocol.decode_head(503, {{"Not-Executed", "1"}}, "a1").not_run);
    CHECK(protocol.decode_head(421, {}, "a1").not_run);
    CHECK(protocol.decode_head(421, {}, "a1").other_server);
    CHECK_FALSE(protocol.decode_head(503, {}, "a1").not_run);
    CHECK_FALSE(protocol.decode_head(503, {{"Not-Executed", "1"}, {"Attempt-Id", "a2"}}, "a1").not_run);
    const auto load = protocol.decode_head(200, {{"Instance-Load", "3,1,8"}}, "a1").load;
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
}

// Servers add figures to their load. Guards against leaving out all of it because of one figure that is missing,
// unreadable or new.
TEST_CASE("of a reported load, what can be read is used") {
    const auto load_of = [](const std::string &value) {
        return protocol.decode_head(200, {{"Instance-Load", value}}, "a1").load;
    };
    struct sample {
        std::string text;
        std::uint32_t slots;
        std::optional<double> factor;
    };
    const std::vector<sample> readable{
        {"3,1", 0, {}},          {"3,1,", 0, {}},           {"3,1,8", 8, {}},         {" 3 ,1, 8 ", 8, {}},
        {"3,1,8,100", 8, 1.0},   {"3,1,8,250", 8, 2.5},     {"3,1,8,62.5", 8, 0.625}, {"3,1,8,99999999", 8, 10.0},
        {"3,1,8,1", 8, 0.1},     {"3,1,x,150", 0, 1.5},     {"3,1,,150", 0, 1.5},     {"3,1,8,0", 8, {}},
        {"3,1,8,-5", 8, {}},     {"3,1,8,nan", 8, {}},      {"3,1,8,inf", 8, {}},     {"3,1,8,1e2", 8, {}},
        {"3,1,8,120,7", 8, 1.2}, {"3,1,8,120,y,,9", 8, 1.2}};
    for (const auto &it : readable) {
        CAPTURE(it.text);
        const auto load = load_of(it.text);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == it.slots);
        REQUIRE(load->work_factor.has_value() == it.factor.has_value());
        CHECK(load->work_factor.value_or(0) == doctest::Approx(it.factor.value_or(0)));
    }
    for (const std::string text :
         {"", ",", "3", "3,", ",1,8", "x,1,8,100", "3,-1,8,100", "3,1.5,8", "3;1;8", "99999999999,1,8", "3 1 8"}) {
        CAPTURE(text);
        CHECK_FALSE(load_of(text));
    }
}

// Guards against hop-by-hop fields that are forwarded to callers.
TEST_CASE("hop-by-hop fields are not forwarded") {
    const auto it = protocol.decode_head(
        200, {{"Content-Length", "5"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-Kept", "2"}}, "a1");
    REQUIRE(it.fields.size() == 1);
    CHECK(it.fields.front().name == "X-Kept");
}

// Guards against a pause that is taken from another status, that never ends, or that a date turns into none.
TEST_CASE("a refusal may ask for a pause in seconds") {
    const auto pause_of = [](int status, const std::string &value) {
        return protocol.decode_head(status, {{"Not-Executed", "1"}, {"Retry-After", value}}, "a1").notice.pause;
    };
    CHECK(pause_of(503, "3") == 3s);
    CHECK(pause_of(503, " 0.25 ") == 250ms);
    CHECK(pause_of(503, "0") == 0s);
    CHECK(pause_of(503, "1e9") == 1s);
    CHECK(pause_of(503, "999999999") == 10min);
    CHECK(pause_of(503, "-4") == 1s);
    CHECK(pause_of(503, "nan") == 1s);
    CHECK(pause_of(503, "Fri, 04 Dec 2026 15:00:00 GMT") == 1s);
    CHECK_FALSE(pause_of(429, "3"));
    CHECK_FALSE(protocol.decode_head(503, {{"Not-Executed", "1"}}, "a1").notice.pause);
}

// Guards against text that is no number, or an answer of another server, that sets or ends a limit.
TEST_CASE("an answer may limit the requests to its server") {
    const auto notice_of = [](int status, http::field_list fields, const std::string &limit) {
        fields.push_back({"Server-Limit", limit});
        return protocol.decode_head(status, fields, "a1").notice;
    };
    const http::field_list plain{{"Attempt-Id", "a1"}};
    CHECK(notice_of(200, plain, "4.7").limit == 4.7);
    CHECK(notice_of(503, plain, " 0 ").limit == 0);
    for (const auto *text : {"", "-1", "nan", "inf", "1e999", "four", "4,7"}) {
        CAPTURE(text);
        const auto notice = notice_of(200, plain, text);
        CHECK_FALSE(notice.limit);
        CHECK_FALSE(notice.ends_limit);
    }
    CHECK_FALSE(notice_of(421, plain, "4.7").limit);
    CHECK(protocol.decode_head(200, plain, "a1").notice.ends_limit);
    CHECK(protocol.decode_head(503, {{"Not-Executed", "1"}}, "a1").notice.ends_limit);
    CHECK_FALSE(protocol.decode_head(200, plain, "a2").notice.ends_limit);
    CHECK_FALSE(protocol.decode_head(503, plain, "a1").notice.ends_limit);
    CHECK_FALSE(protocol.decode_head(421, plain, "a1").notice.ends_limit);
}

// Guards against a handle that adds fields to the request in which it is sent on, and against answers that end the
// process or take much memory when they are parsed (review/3, related path).
TEST_CASE("a handle is a text without blanks and control characters, and anything else is none") {
    CHECK(protocol.decode_handle(R"({"KvHandle":"3fa09c41b7d5","Tokens":1460,"Version":1})").value() == "3fa09c41b7d5");
    for (const std::string &text :
         {std::string{R"({"KvHandle":"a\r\nTenant: b"})"}, std::string{R"({"KvHandle":"a b"})"},
          std::string{R"({"KvHandle":"é"})"}, std::string{R"({"KvHandle":""})"}, std::string{R"({"KvHandle":7})"},
          std::string{"[]"}, std::string{}, std::string(100'000, '['),
          R"({"KvHandle":"a","x":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}"}) {
        CAPTURE(text.substr(0, 40));
        CHECK_FALSE(protocol.decode_handle(text));
    }
}

// Guards against a request that is late from the beginning because its deadline does not fit into a clock's time.
TEST_CASE("a deadline beyond any request counts as a day") {
    const auto time_left = [](const std::string &text) {
        const http::request message{"POST", "/a", {{"Host", "h"}, {"Attempt-Id", "a1"}, {"Deadline-Ms", text}}, ""};
        return protocol.decode_request(message).value().facts.time_left;
    };
    CHECK(time_left("1500") == 1500ms);
    CHECK(time_left("1500150015001500") == 24h);
    CHECK(time_left("18446744073709551615") == 24h);
}
