#include "standin/common/text.hpp"

#include <algorithm>
#include <csignal>
#include <future>
#include <list>
#include <thread>

#include "standin/support.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** Parsed events of a stream, and whether it ended properly. */
struct streamed {
    std::vector<json> events;
    bool done{false};

    [[nodiscard]] std::string text() const {
        std::string out;
        for (const auto &it : events) {
            const auto &choice = it.at("choices").at(0);
            out += choice.contains("text") ? choice.at("text") : choice.at("delta").at("content");
        }
        return out;
    }
};

streamed parse_events(std::string_view raw) {
    streamed out;
    for (auto end = raw.find("\n\n"); end != std::string_view::npos; end = raw.find("\n\n")) {
        const auto event = raw.substr(0, end);
        raw.remove_prefix(end + 2);
        REQUIRE(event.starts_with("data: "));
        if (event == "data: [DONE]") {
            out.done = true;
        } else {
            out.events.push_back(json::parse(event.substr(6)));
        }
    }
    return out;
}

/** A call of a completion on a thread of its own. */
struct running_call {
    std::future<streamed> result;

    running_call(const test::standin_program &engine, const json &body, const std::string &id = "")
        : result{std::async(std::launch::async, [address = engine.address, body, id] {
              http::curl_client client;
              std::string raw;
              const auto sink = [&raw](std::string_view part) {
                  raw += part;
                  return true;
              };
              const http::field_list fields = id.empty() ? http::field_list{} : http::field_list{{"X-Request-Id", id}};
              (void)client.stream(address, {"POST", "/v1/completions", fields, body.dump()}, {}, sink);
              return parse_events(raw);
          })} {}
};

json stream_of(const std::string &prompt, int tokens) {
    return {{"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}};
}

json complete(test::standin_program &engine, const json &body) {
    const auto answer = engine.call("POST", "/v1/completions", body.dump());
    REQUIRE(answer);
    REQUIRE(answer.value().status == 200);
    return json::parse(answer.value().body);
}

/** Waits until a field of `GET /v1/state` has a value. */
bool reaches(test::standin_program &engine, const std::string &field, const json &value) {
    for (int n = 0; n < 300; ++n) {
        if (engine.get("/v1/state").at(field) == value) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

std::string words(int count, const std::string &word) {
    std::string out;
    for (int n = 0; n < count; ++n) {
        out += word + std::to_string(n) + ' ';
    }
    return out;
}

json order(const std::string &id, int fence, const std::string &kind, const std::string &argument) {
    return {{"order_id", id}, {"fence", fence}, {"kind", kind}, {"argument", argument}};
}

} // namespace

// Guards against text that differs between engines or token positions, by which resumed streams are compared.
TEST_CASE("tokens are a fixed function of prompt and index") {
    CHECK(standin::token_text("a", 0) == standin::token_text("a", 0));
    CHECK(standin::token_text("a", 0) != standin::token_text("a", 1));
    CHECK(standin::token_text("a", 0) != standin::token_text("b", 0));
    CHECK(standin::generated_text("p", 0, 9) ==
          standin::generated_text("p", 0, 4) + standin::generated_text("p", 4, 9));
    CHECK(standin::words_of(" a  b\nc ").size() == 3);
    CHECK(standin::words_of("").size() == 1);
}

// Guards against streams that batch several tokens into an event or lack usage or the end mark.
TEST_CASE("a stream has one event per token, then usage, then the end mark") {
    test::standin_program it{"engine"};
    const auto got = running_call{it, stream_of("some old words", 5), "r1"}.result.get();
    CHECK(got.done);
    REQUIRE(got.events.size() == 6);
    CHECK(got.text() == standin::generated_text("some old words", 0, 5));
    CHECK(got.events.at(4).at("choices").at(0).at("finish_reason").is_null());
    CHECK(got.events.at(5).at("choices").at(0).at("finish_reason") == "length");
    CHECK(got.events.at(5).at("usage") == json{{"prompt_tokens", 3}, {"completion_tokens", 5}, {"total_tokens", 8}});
    CHECK(got.events.at(0).at("id") == "r1");
    CHECK(it.get("/v1/requests").at("r1") == json{{"runs", 1}, {"tokens", 5}, {"finish_reason", "length"}});
}

// Guards against a default length other than 16 and against chat answers of another form.
TEST_CASE("whole answers have text and usage, chat ones a message") {
    test::standin_program it{"engine", {"--tokens-per-second", "1000"}};
    const auto plain = complete(it, {{"prompt", "x"}});
    CHECK(plain.at("choices").at(0).at("text") == standin::generated_text("x", 0, 16));
    CHECK(plain.at("usage").at("completion_tokens") == 16);
    const json chat{{"messages", {{{"role", "user"}, {"content", "hi"}}}}, {"max_tokens", 2}};
    const auto answer = it.call("POST", "/v1/chat/completions", chat.dump());
    REQUIRE(answer);
    const auto body = json::parse(answer.value().body);
    CHECK(body.at("choices").at(0).at("message").at("content") == standin::generated_text("user: hi\n", 0, 2));
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_CASE("resume_from skips tokens") {
    test::standin_program it{"engine"};
    auto body = stream_of("p", 6);
    body["resume_from"] = 4;
    const auto got = running_call{it, body}.result.get();
    CHECK(got.text() == standin::generated_text("p", 4, 6));
    CHECK(got.events.back().at("usage").at("completion_tokens") == 2);
    body["resume_from"] = 6;
    const auto none = running_call{it, body}.result.get();
    CHECK(none.done);
    CHECK(none.text().empty());
}

// Guards against requests that are taken with a wrong body or a model that is not loaded.
TEST_CASE("wrong requests are refused") {
    test::standin_program it{"engine", {"--model", "a", "--model", "b", "--blocks", "2", "--block-tokens", "10"}};
    CHECK(it.post("/v1/completions", {{"prompt", "x"}, {"model", "b"}, {"max_tokens", 1}}) == 200);
    CHECK(it.post("/v1/completions", {{"prompt", "x"}, {"model", "c"}}) == 404);
    CHECK(it.post("/v1/completions", {{"prompt", 3}}) == 400);
    CHECK(it.post("/v1/completions", {{"prompt", "x"}, {"max_tokens", -1}}) == 400);
    CHECK(it.post("/v1/completions", {{"prompt", "x"}, {"max_tokens", 20}}) == 400);
    CHECK(it.post("/v1/completions", json::array()) == 400);
}

// Guards against a batch without limit and a queue that ignores priorities.
TEST_CASE("requests beyond the batch wait by priority") {
    test::standin_program it{"engine", {"--batch", "1", "--tokens-per-second", "50"}};
    auto low = stream_of("low", 5);
    auto high = stream_of("high", 5);
    low["priority"] = 1;
    high["priority"] = 2;
    running_call first{it, stream_of("first", 20)};
    REQUIRE(reaches(it, "running", 1));
    running_call second{it, low, "low"};
    REQUIRE(reaches(it, "queued", 1));
    running_call third{it, high, "high"};
    REQUIRE(reaches(it, "queued", 2));
    CHECK(it.get("/v1/state").at("running") == 1);
    CHECK(third.result.get().done);
    CHECK(it.get("/v1/requests").at("low").at("finish_reason") == "");
    CHECK(second.result.get().done);
    CHECK(first.result.get().done);
}

// Guards against requests of a batch that share the speed of one.
TEST_CASE("requests of a batch generate at the same time at the set speed") {
    test::standin_program it{"engine", {"--batch", "4", "--tokens-per-second", "50"}};
    const auto begin = std::chrono::steady_clock::now();
    std::list<running_call> calls;
    for (int n = 0; n < 4; ++n) {
        calls.emplace_back(it, stream_of("p" + std::to_string(n), 25));
    }
    for (auto &call : calls) {
        CHECK(call.result.get().events.size() == 26);
    }
    const auto passed = std::chrono::steady_clock::now() - begin;
    CHECK(passed >= 450ms);
    CHECK(passed < 1500ms);
}

// Guards against cancelled requests that go on and hold their place.
TEST_CASE("a cancelled request ends and frees its place") {
    test::standin_program it{"engine", {"--batch", "1", "--tokens-per-second", "20"}};
    running_call first{it, stream_of("first", 1000), "r1"};
    REQUIRE(reaches(it, "running", 1));
    running_call second{it, stream_of("second", 1), "r2"};
    REQUIRE(reaches(it, "queued", 1));
    const auto answer = it.call("POST", "/v1/requests/r1/cancel");
    REQUIRE(answer);
    CHECK(json::parse(answer.value().body) == json{{"outcome", "cancelled"}});
    const auto got = first.result.get();
    CHECK(got.done);
    CHECK(got.events.back().at("choices").at(0).at("finish_reason") == "cancelled");
    CHECK(second.result.get().done);
    CHECK(json::parse(it.call("POST", "/v1/requests/r1/cancel").value().body).at("outcome") == "finished");
    CHECK(json::parse(it.call("POST", "/v1/requests/r9/cancel").value().body).at("outcome") == "unknown");
}

// Guards against an engine that generates for callers that have gone.
TEST_CASE("a request whose caller has gone is dropped") {
    test::standin_program it{"engine", {"--tokens-per-second", "100"}};
    http::curl_client client;
    const auto sink = [](std::string_view) { return false; };
    (void)client.stream(it.address, {"POST", "/v1/completions", {}, stream_of("p", 100000).dump()}, {}, sink);
    CHECK(reaches(it, "running", 0));
}

// Guards against a cache that saves no time, is not published, or exceeds the memory.
TEST_CASE("known prefixes are prefilled faster, published and evicted") {
    test::standin_program it{"engine",
                             {"--block-tokens", "10", "--blocks", "12", "--prefill-tokens-per-second", "200"}};
    const auto prompt = words(95, "w");
    const auto timed = [&it](const std::string &text) {
        const auto begin = std::chrono::steady_clock::now();
        CHECK(complete(it, {{"prompt", text}, {"max_tokens", 1}}).at("usage").at("prompt_tokens") == 95);
        return std::chrono::steady_clock::now() - begin;
    };
    CHECK(timed(prompt) >= 400ms);
    CHECK(it.get("/v1/state").at("prefilled_tokens") == 95);
    CHECK(timed(prompt) < 200ms);
    CHECK(it.get("/v1/state").at("prefilled_tokens") == 100);
    const auto stored = it.get("/v1/cache_events?since=0");
    CHECK(stored.at("block_tokens") == 10);
    CHECK(stored.at("events").at(0).at("kind") == "stored");
    CHECK(stored.at("events").at(0).at("tokens") == 10);
    CHECK(timed(words(95, "v")) >= 400ms);
    const auto later = it.get("/v1/cache_events?since=" + stored.at("seq").dump());
    const auto evicted = [](const json &event) { return event.at("kind") == "evicted"; };
    CHECK(std::ranges::any_of(later.at("events"), evicted));
    CHECK(timed(prompt) >= 300ms);
}

// Guards against an index that relies on complete and prompt cache events.
TEST_CASE("cache events lag and have gaps") {
    test::standin_program it{"engine",
                             {"--block-tokens", "10", "--cache-event-gap", "2", "--cache-event-lag-ms", "300"}};
    (void)complete(it, {{"prompt", words(50, "w")}, {"max_tokens", 1}});
    CHECK(it.get("/v1/cache_events?since=0").at("events").empty());
    std::this_thread::sleep_for(350ms);
    std::vector<int> seen;
    const auto list = it.get("/v1/cache_events?since=0");
    for (const auto &event : list.at("events")) {
        seen.push_back(event.at("seq"));
    }
    CHECK(seen == std::vector{1, 3, 5});
    CHECK(it.get("/v1/cache_events?since=3").at("events").size() == 1);
}

// Guards against a cache transfer that does not save the receiver the work.
TEST_CASE("an exported prefix can be imported elsewhere") {
    const std::vector<std::string> options{"--block-tokens", "10"};
    test::standin_program from{"engine", options};
    test::standin_program into{"engine", options};
    const json body{{"prompt", words(20, "w")}, {"max_tokens", 1}};
    (void)complete(from, body);
    const auto events = from.get("/v1/cache_events?since=0").at("events");
    REQUIRE(events.size() == 2);
    for (const auto &event : events) {
        const std::string target = "/v1/cache/" + event.at("prefix").get<std::string>();
        const auto block = from.call("GET", target);
        REQUIRE(block);
        CHECK(into.call("PUT", target, block.value().body).value().status == 200);
    }
    (void)complete(into, body);
    CHECK(into.get("/v1/state").at("prefilled_tokens") == 1);
    CHECK(into.call("GET", "/v1/cache/none").value().status == 404);
}

// Guards against load reports that are fresher than those of real engines, or that never change.
TEST_CASE("load reports lag") {
    test::standin_program it{"engine", {"--load-lag-ms", "400", "--tokens-per-second", "20", "--blocks", "8"}};
    std::this_thread::sleep_for(450ms);
    const auto before = it.get("/v1/load");
    running_call call{it, stream_of("p", 40)};
    REQUIRE(reaches(it, "running", 1));
    const auto early = it.get("/v1/load");
    CHECK(early.at("running") == 0);
    CHECK(early.at("age_ms") >= 400);
    std::this_thread::sleep_for(500ms);
    const auto late = it.get("/v1/load");
    CHECK(late.at("running") == 1);
    CHECK(late.at("free_blocks") == 7);
    CHECK(late.at("total_blocks") == 8);
    CHECK(late.at("age_ms") < 600);
    CHECK(late.at("seq") > before.at("seq"));
    CHECK(call.result.get().done);
}

// Guards against tests of promise 1 that cannot see refused or repeated orders.
TEST_CASE("an order takes the engine out of service, then takes effect once") {
    test::standin_program it{"engine", {"--role-change-ms", "300"}};
    CHECK(it.post("/v1/orders", order("o1", 5, "set_role", "decode")) == 200);
    auto state = it.get("/v1/state");
    CHECK(state.at("changing") == true);
    CHECK(state.at("role") == "mixed");
    CHECK(state.at("order_id") == "o1");
    CHECK(state.at("fence") == 5);
    const auto refused = it.call("POST", "/v1/completions", R"({"prompt":"x"})").value();
    CHECK(refused.status == 503);
    CHECK(http::find_field(refused.fields, "Retry-After") == "1");
    CHECK(it.post("/v1/orders", order("o2", 5, "set_role", "prefill")) == 409);
    CHECK(it.post("/v1/orders", order("o1", 5, "set_role", "decode")) == 200);
    REQUIRE(reaches(it, "changing", false));
    CHECK(it.get("/v1/state").at("role") == "decode");
    CHECK(it.post("/v1/orders", order("o3", 4, "set_role", "mixed")) == 409);
    CHECK(it.post("/v1/orders", order("o4", 6, "paint", "red")) == 400);
    CHECK(it.post("/v1/orders", {{"order_id", "o5"}}) == 400);
    CHECK(it.post("/v1/orders", order("o6", 6, "set_role", "fast")) == 400);
    std::vector<std::string> outcomes;
    const auto list = it.get("/v1/orders");
    for (const auto &entry : list.at("orders")) {
        outcomes.push_back(entry.at("order_id").get<std::string>() + " " + entry.at("outcome").get<std::string>());
    }
    CHECK(outcomes == std::vector<std::string>{"o1 accepted", "o2 busy", "o1 repeated", "o3 stale_fence"});
}

// Guards against fencing that only works with engines that honour it.
TEST_CASE("an engine that ignores fences carries out stale orders") {
    test::standin_program it{"engine", {"--honour-fence", "false", "--role-change-ms", "0"}};
    CHECK(it.post("/v1/orders", order("o1", 5, "load_model", "m2")) == 200);
    REQUIRE(reaches(it, "changing", false));
    CHECK(it.post("/v1/orders", order("o2", 4, "load_adapter", "a1")) == 200);
    REQUIRE(reaches(it, "changing", false));
    CHECK(it.post("/v1/orders", order("o3", 4, "set_version", "v2")) == 200);
    REQUIRE(reaches(it, "changing", false));
    const auto state = it.get("/v1/state");
    CHECK(state.at("models") == json::array({"model", "m2"}));
    CHECK(state.at("adapters") == json::array({"a1"}));
    CHECK(state.at("version") == "v2");
}

// Guards against planned changes that pass unnoticed although they interrupt requests.
TEST_CASE("a role change breaks running requests, loading an adapter does not") {
    test::standin_program it{"engine", {"--role-change-ms", "0", "--tokens-per-second", "20"}};
    running_call call{it, stream_of("p", 30)};
    REQUIRE(reaches(it, "running", 1));
    CHECK(it.post("/v1/orders", order("o1", 1, "load_adapter", "a")) == 200);
    REQUIRE(reaches(it, "changing", false));
    CHECK(it.get("/v1/state").at("interrupted") == 0);
    CHECK(it.post("/v1/orders", order("o2", 1, "set_role", "decode")) == 200);
    CHECK_FALSE(call.result.get().done);
    CHECK(it.get("/v1/state").at("interrupted") == 1);
}

// Guards against a crash that looks like a proper end, and against one that repeats.
TEST_CASE("fail-after-tokens breaks streams once") {
    test::standin_program it{"engine", {"--fail-after-tokens", "3"}};
    const auto broken = running_call{it, stream_of("p", 10)}.result.get();
    CHECK_FALSE(broken.done);
    CHECK(broken.text() == standin::generated_text("p", 0, 3));
    const auto whole = running_call{it, stream_of("p", 10)}.result.get();
    CHECK(whole.done);
    CHECK(whole.text() == standin::generated_text("p", 0, 10));
}

// Guards against an engine that catches up in a burst after a pause.
TEST_CASE("a paused engine goes on at its speed") {
    test::standin_program it{"engine", {"--tokens-per-second", "20"}};
    running_call call{it, stream_of("p", 20)};
    REQUIRE(reaches(it, "running", 1));
    it.process.signal(SIGSTOP);
    std::this_thread::sleep_for(600ms);
    it.process.signal(SIGCONT);
    std::this_thread::sleep_for(100ms);
    CHECK(it.get("/v1/state").at("generated_tokens") < 12);
    CHECK(call.result.get().done);
}

// Guards against roles that make no difference to the planner.
TEST_CASE("roles change the speed of prefill and generation") {
    const auto passed = [](const std::string &role, const json &body) {
        test::standin_program it{"engine",
                                 {"--role", role, "--tokens-per-second", "100", "--prefill-tokens-per-second", "500"}};
        const auto begin = std::chrono::steady_clock::now();
        (void)complete(it, body);
        return std::chrono::steady_clock::now() - begin;
    };
    const json long_prompt{{"prompt", words(100, "w")}, {"max_tokens", 1}};
    const json long_answer{{"prompt", "w"}, {"max_tokens", 20}};
    CHECK(passed("prefill", long_prompt) < 500ms);
    CHECK(passed("decode", long_prompt) >= 700ms);
    CHECK(passed("decode", long_answer) < 500ms);
    CHECK(passed("prefill", long_answer) >= 700ms);
}
