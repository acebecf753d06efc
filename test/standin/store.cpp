#include <thread>

#include "standin/support.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const http::field_list create{{"If-None-Match", "*"}};

struct fixture {
    test::standin_program store{"store"};

    [[nodiscard]] base::result<http::response> object(const std::string &method, const std::string &key,
                                                      const std::string &value = {},
                                                      const http::field_list &fields = {},
                                                      const http::call_options &options = {}) {
        return store.call(method, "/v1/objects/" + key, value, fields, options);
    }

    int put(const std::string &key, const std::string &value, const http::field_list &fields) {
        const auto answer = object("PUT", key, value, fields);
        return answer ? answer.value().status : 0;
    }

    std::string value(const std::string &key) {
        const auto answer = object("GET", key);
        return answer && answer.value().status == 200 ? answer.value().body : "none";
    }

    void faults(const json &body) { REQUIRE(store.post("/v1/faults", body) == 200); }
};

http::field_list match(std::uint64_t version) {
    return {{"If-Match", "\"" + std::to_string(version) + "\""}};
}

} // namespace

// Guards against writes that succeed although their condition does not hold.
TEST_CASE("writes and deletions are conditional on the version") {
    fixture it;
    CHECK(it.put("a/b", "one", create) == 200);
    CHECK(it.put("a/b", "again", create) == 412);
    CHECK(it.put("a/b", "two", match(2)) == 412);
    CHECK(it.put("other", "x", create) == 200);
    CHECK(it.put("a/b", "two", match(1)) == 200);
    const auto read = it.object("GET", "a/b");
    REQUIRE(read);
    CHECK(read.value().body == "two");
    CHECK(http::find_field(read.value().fields, "ETag") == "\"3\"");
    CHECK(it.object("DELETE", "a/b", "", match(1)).value().status == 412);
    CHECK(it.object("DELETE", "a/b", "", match(3)).value().status == 200);
    CHECK(it.object("GET", "a/b").value().status == 404);
    CHECK(it.put("a/b", "three", match(3)) == 412);
    CHECK(it.put("a/b", "three", create) == 200);
    CHECK(http::find_field(it.object("GET", "a/b").value().fields, "ETag") == "\"5\"");
}

// Guards against writers that forget their condition and against conditions that are read wrongly.
TEST_CASE("a write without a valid condition is refused") {
    fixture it;
    CHECK(it.put("a", "x", {}) == 428);
    CHECK(it.put("a", "x", {{"If-Match", "1"}}) == 428);
    CHECK(it.put("a", "x", {{"If-Match", "\"1x\""}}) == 428);
    CHECK(it.put("a", "x", {{"If-Match", "\"1\""}, {"If-None-Match", "*"}}) == 428);
    CHECK(it.value("a") == "none");
}

// Guards against keys that are mixed up when they contain escaped characters.
TEST_CASE("keys are decoded once") {
    fixture it;
    CHECK(it.put("a%20b%2Fc+d", "x", create) == 200);
    const auto list = it.store.get("/v1/objects?prefix=a%20b/");
    REQUIRE(list.at("objects").size() == 1);
    CHECK(list.at("objects").at(0).at("key") == "a b/c+d");
    CHECK(it.value("a%20b/c%2Bd") == "x");
}

// Guards against a limit other than the platform's.
TEST_CASE("values of 1 MiB are accepted, larger ones get 413") {
    fixture it;
    const std::string largest(std::size_t{1} << 20U, 'v');
    CHECK(it.put("a", largest, create) == 200);
    CHECK(it.value("a") == largest);
    CHECK(it.put("b", largest + "v", create) == 413);
    CHECK(it.value("b") == "none");
}

// Guards against listings that show deleted objects or objects of another prefix.
TEST_CASE("a listing has the live objects of a prefix and the revision") {
    fixture it;
    CHECK(it.put("p/1", "a", create) == 200);
    CHECK(it.put("p/2", "b", create) == 200);
    CHECK(it.put("q/1", "c", create) == 200);
    CHECK(it.object("DELETE", "p/1", "", match(1)).value().status == 200);
    const auto list = it.store.get("/v1/objects?prefix=p/");
    CHECK(list.at("objects") == json::array({{{"key", "p/2"}, {"version", 2}, {"value", "b"}}}));
    CHECK(list.at("revision") == 4);
}

// Guards against watches that miss a change made before, during or between calls.
TEST_CASE("a watch returns changes after a revision, or waits for one") {
    fixture it;
    CHECK(it.put("w/1", "a", create) == 200);
    CHECK(it.put("w/2", "b", create) == 200);
    CHECK(it.object("DELETE", "w/1", "", match(1)).value().status == 200);
    const auto past = it.store.get("/v1/watch?prefix=w/&since=0&wait_ms=1000");
    CHECK(past.at("revision") == 3);
    REQUIRE(past.at("events").size() == 2);
    CHECK(past.at("events").at(0) == json{{"key", "w/2"}, {"version", 2}, {"value", "b"}, {"deleted", false}});
    CHECK(past.at("events").at(1) == json{{"key", "w/1"}, {"version", 3}, {"value", ""}, {"deleted", true}});

    std::thread writer{[&it] {
        std::this_thread::sleep_for(100ms);
        (void)it.put("x/1", "other prefix", create);
        (void)it.put("w/3", "c", create);
    }};
    const auto begin = std::chrono::steady_clock::now();
    const auto next = it.store.get("/v1/watch?prefix=w/&since=3&wait_ms=4000");
    writer.join();
    CHECK(std::chrono::steady_clock::now() - begin < 2s);
    REQUIRE(next.at("events").size() == 1);
    CHECK(next.at("events").at(0).at("key") == "w/3");
    CHECK(next.at("revision") == 5);
}

// Guards against a long poll that never ends or that ends too early.
TEST_CASE("a watch without changes ends after its wait") {
    fixture it;
    const auto begin = std::chrono::steady_clock::now();
    const auto none = it.store.get("/v1/watch?prefix=&since=0&wait_ms=200");
    CHECK(std::chrono::steady_clock::now() - begin >= 200ms);
    CHECK(none == json{{"events", json::array()}, {"revision", 0}});
    CHECK(it.store.get("/v1/counters").at("watches") == 1);
    CHECK(it.store.get("/v1/counters").at("waiting") == 0);
}

// Guards against a lost answer that undoes the write, or that hits a write without effect.
TEST_CASE("lose_answers drops the answers of writes that took effect") {
    fixture it;
    it.faults({{"lose_answers", 1}, {"prefix", "lease/"}});
    CHECK(it.put("config/head", "a", create) == 200);
    CHECK(it.put("lease/planner", "a", match(9)) == 412);
    CHECK(it.put("lease/planner", "a", create) == 0);
    CHECK(it.value("lease/planner") == "a");
    CHECK(it.put("lease/planner", "b", match(2)) == 200);
}

// Guards against stale reads that return a version that never was.
TEST_CASE("stale_reads returns the version before the last write") {
    fixture it;
    CHECK(it.put("a", "one", create) == 200);
    it.faults({{"stale_reads", 1}});
    CHECK(it.value("a") == "none");
    CHECK(it.value("a") == "one");
    CHECK(it.put("a", "two", match(1)) == 200);
    it.faults({{"stale_reads", 2}});
    const auto stale = it.object("GET", "a").value();
    CHECK(stale.body == "one");
    CHECK(http::find_field(stale.fields, "ETag") == "\"1\"");
    CHECK(it.value("a") == "one");
    CHECK(it.value("a") == "two");
}

// Guards against an outage in which some calls take effect, and against watches that survive it.
TEST_CASE("an outage drops calls without effect and ends watches") {
    fixture it;
    std::thread starter{[&it] {
        std::this_thread::sleep_for(100ms);
        it.faults({{"outage", true}});
    }};
    CHECK_FALSE(it.store.call("GET", "/v1/watch?prefix=&since=0&wait_ms=4000"));
    starter.join();
    CHECK(it.put("a", "x", create) == 0);
    it.faults({{"outage", false}});
    CHECK(it.value("a") == "none");
    CHECK(it.store.get("/v1/counters").at("dropped") == 2);
}

// Guards against a delay that is applied only to the answer: a caller that has given up may still have its write done.
TEST_CASE("delay_ms delays the effect of calls") {
    fixture it;
    it.faults({{"delay_ms", 200}});
    CHECK_FALSE(it.object("PUT", "a", "x", create, {.timeout = 50ms}));
    it.faults({{"delay_ms", 0}});
    CHECK(it.value("a") == "none");
    std::this_thread::sleep_for(250ms);
    CHECK(it.value("a") == "x");
}

// Guards against silence that ends by itself, and against held writes that vanish: they take effect late.
TEST_CASE("silent holds calls until it is cleared, then carries them out") {
    fixture it;
    CHECK(it.put("a", "one", create) == 200);
    it.faults({{"silent", true}});
    const auto held = it.object("PUT", "a", "late", match(1), {.timeout = 100ms});
    REQUIRE_FALSE(held);
    CHECK(held.error().kind == base::error_kind::unknown_outcome);
    CHECK(it.store.get("/v1/counters").at("held") == 1);
    it.faults({{"silent", false}});
    CHECK(it.value("a") == "late");
}

// Guards against silence that lets a waiting watch through.
TEST_CASE("silent also holds watches that were waiting") {
    fixture it;
    std::thread starter{[&it] {
        std::this_thread::sleep_for(50ms);
        it.faults({{"silent", true}});
    }};
    const auto held = it.store.call("GET", "/v1/watch?prefix=&since=0&wait_ms=100", {}, {}, {.timeout = 400ms});
    starter.join();
    REQUIRE_FALSE(held);
    CHECK(it.store.get("/v1/counters").at("held") == 1);
}

// Guards against counters that overlook calls, on which the budget of store calls rests.
TEST_CASE("counters name every call once") {
    fixture it;
    CHECK(it.put("config/head", "one", create) == 200);
    CHECK(it.put("config/head", "one", create) == 412);
    CHECK(it.value("config/head") == "one");
    CHECK(it.value("lease/planner") == "none");
    (void)it.store.get("/v1/objects?prefix=config/");
    (void)it.store.get("/v1/watch?prefix=config/&since=0&wait_ms=10");
    const auto all = it.store.get("/v1/counters");
    CHECK(all.at("calls") == 6);
    CHECK(all.at("writes") == 2);
    CHECK(all.at("conflicts") == 1);
    CHECK(all.at("reads") == 2);
    CHECK(all.at("lists") == 1);
    CHECK(all.at("watches") == 1);
    CHECK(all.at("parts").at("lease").at("calls") == 1);
}

// Guards against a mistyped fault that leaves a test without its failure.
TEST_CASE("an unknown fault is refused") {
    fixture it;
    CHECK(it.store.post("/v1/faults", {{"outrage", true}}) == 400);
    CHECK(it.store.post("/v1/faults", {{"outage", "yes"}}) == 400);
    CHECK(it.put("a", "x", create) == 200);
}
