#include <thread>

#include "standin/support.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json host(const std::string &name, const std::string &state) {
    return {{"host", name}, {"role", "agent"}, {"address", "127.0.0.1:1"}, {"failure_domain", "r"}, {"state", state}};
}

} // namespace

// Guards against a host list that is more current than the real one.
TEST_CASE("the host list lags") {
    test::standin_program it{"platform", {"--lag-ms", "300"}};
    CHECK(it.post("/v1/hosts", host("h1", "live")) == 200);
    CHECK(it.get("/v1/hosts").at("hosts").empty());
    std::this_thread::sleep_for(350ms);
    CHECK(it.get("/v1/hosts").at("hosts") == json::array({host("h1", "live")}));
    CHECK(it.post("/v1/hosts", host("h1", "gone")) == 200);
    CHECK(it.get("/v1/hosts").at("hosts").size() == 1);
    std::this_thread::sleep_for(350ms);
    CHECK(it.get("/v1/hosts").at("hosts").empty());
    CHECK(it.post("/v1/hosts", {{"host", "h2"}}) == 400);
}

// Guards against tests of promise 7 that cannot see a second order or its sender.
TEST_CASE("orders are recorded in order of receipt, lost answers and repetitions included") {
    test::standin_program it{"platform"};
    CHECK(it.post("/v1/hosts", host("h1", "live")) == 200);
    const json start{{"order_id", "o1"}, {"action", "start"}, {"failure_domain", "r"}, {"host", ""}};
    json stop{{"order_id", "o2"}, {"action", "stop"}, {"failure_domain", "r"}, {"host", "h1"}, {"reporter", "e1"}};
    CHECK(it.post("/v1/faults", {{"lose_answers", 1}}) == 200);
    CHECK(it.post("/v1/backend_orders", start) == 0);
    CHECK(it.post("/v1/backend_orders", start) == 200);
    CHECK(it.post("/v1/backend_orders", stop) == 200);
    CHECK(it.post("/v1/backend_orders", {{"order_id", "o3"}, {"action", "pause"}}) == 400);
    const auto orders = it.get("/v1/backend_orders").at("orders");
    REQUIRE(orders.size() == 3);
    CHECK(orders.at(0).at("repeated") == false);
    CHECK(orders.at(1).at("repeated") == true);
    CHECK(orders.at(1).at("order_id") == "o1");
    CHECK(orders.at(2).at("reporter") == "e1");
    CHECK(orders.at(2).at("seq") == 3);
    CHECK(it.get("/v1/hosts").at("hosts").at(0).at("state") == "leaving");
}

// Guards against tests of promise 8 that cannot see other figures for the same window.
TEST_CASE("usage reports are recorded with their differences") {
    test::standin_program it{"platform"};
    const auto report = [&it](int window, const std::string &reporter, int figure) {
        return it.post("/v1/usage_reports",
                       {{"window", window}, {"reporter", reporter}, {"fence", 1}, {"figures", {{"a", figure}}}});
    };
    CHECK(report(1, "e1", 5) == 200);
    CHECK(report(1, "e1", 5) == 200);
    CHECK(report(2, "e1", 6) == 200);
    CHECK(report(1, "e2", 7) == 200);
    CHECK(it.post("/v1/usage_reports", {{"window", 3}}) == 400);
    const auto reports = it.get("/v1/usage_reports").at("reports");
    REQUIRE(reports.size() == 4);
    CHECK(reports.at(1).at("repeated") == true);
    CHECK(reports.at(1).at("differs") == false);
    CHECK(reports.at(2).at("repeated") == false);
    CHECK(reports.at(3).at("differs") == true);
    CHECK(reports.at(3).at("reporter") == "e2");
}

// Guards against an outage in which orders are recorded.
TEST_CASE("an outage drops calls without effect") {
    test::standin_program it{"platform"};
    const json start{{"order_id", "o1"}, {"action", "start"}, {"failure_domain", "r"}, {"host", ""}};
    CHECK(it.post("/v1/faults", {{"outage", true}}) == 200);
    CHECK(it.post("/v1/backend_orders", start) == 0);
    CHECK(it.post("/v1/faults", {{"outage", false}}) == 200);
    CHECK(it.get("/v1/backend_orders").at("orders").empty());
}

// Guards against model changes that overrun the weight store.
TEST_CASE("weights are limited per second") {
    test::standin_program it{"platform", {"--weights-per-second", "2", "--weights-bytes", "5000"}};
    const auto first = it.call("GET", "/v1/weights/m");
    REQUIRE(first);
    CHECK(first.value().body.size() == 5000);
    CHECK(it.call("GET", "/v1/weights/m").value().status == 200);
    const auto limited = it.call("GET", "/v1/weights/m").value();
    CHECK(limited.status == 429);
    CHECK(http::find_field(limited.fields, "Retry-After") == "1");
    std::this_thread::sleep_for(1100ms);
    CHECK(it.call("GET", "/v1/weights/m").value().status == 200);
}
