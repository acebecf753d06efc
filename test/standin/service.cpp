#include "standin/support.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

// Guards against tests of promise 11 that cannot see a repeated run.
TEST_CASE("the service runs and counts every booking, also when the answer is lost") {
    test::standin_program it{"service", {"--lose-answers", "1"}};
    const nlohmann::json booking{{"booking_id", "b1"}};
    const auto lost = it.call("POST", "/bookings", booking.dump());
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == base::error_kind::unknown_outcome);
    CHECK(it.get("/counts") == nlohmann::json{{"b1", 1}});
    CHECK(it.post("/bookings", booking) == 201);
    CHECK(it.get("/counts") == nlohmann::json{{"b1", 2}});
    CHECK(it.post("/bookings", nlohmann::json::object()) == 400);
    CHECK(it.get("/availability").at("booked") == 1);
    CHECK(it.get("/cut/7?x=1").at("target") == "/cut/7?x=1");
}

// Guards against a latency that delays the run and not only the answer.
TEST_CASE("the service runs a call at once and answers it after the latency") {
    test::standin_program it{"service", {"--latency-ms", "300"}};
    const auto begin = std::chrono::steady_clock::now();
    const auto early = it.call("POST", "/bookings", R"({"booking_id":"b"})", {}, {.timeout = 100ms});
    CHECK_FALSE(early);
    CHECK(it.get("/counts") == nlohmann::json{{"b", 1}});
    CHECK(std::chrono::steady_clock::now() - begin < 300ms);
    CHECK(it.call("GET", "/availability"));
    CHECK(std::chrono::steady_clock::now() - begin >= 300ms);
}

// Guards against tests of promise 5 that overlook a place where a key can be.
TEST_CASE("the service and the engine see a key in header, query and body") {
    for (const std::string name : {"service", "engine"}) {
        CAPTURE(name);
        test::standin_program it{name, {"--refuse-key-text", "sk/1"}};
        CHECK(it.get("/v1/state").at("key_sightings") == 0);
        (void)it.call("GET", "/a", "", {{"Authorization", "Bearer sk/1"}});
        CHECK(it.get("/v1/state").at("key_sightings") == 1);
        (void)it.call("GET", "/a?key=sk%2F1");
        CHECK(it.get("/v1/state").at("key_sightings") == 2);
        (void)it.call("GET", "/a?key=sk/1");
        CHECK(it.get("/v1/state").at("key_sightings") == 3);
        (void)it.call("POST", "/a", "{\"k\":\"sk/1\"}", {{"Cookie", "k=sk/1"}});
        CHECK(it.get("/v1/state").at("key_sightings") == 5);
        (void)it.call("POST", "/a", "sk/2");
        CHECK(it.get("/v1/state").at("key_sightings") == 5);
    }
}
