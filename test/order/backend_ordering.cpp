#include "order/backend_ordering.hpp"

#include <doctest/doctest.h>

#include "support/fake_wire.hpp"

using namespace dotterelstack;
using base::error_kind;

// Guards against an order body that the platform cannot parse, and against treating an inconclusive response as done.
TEST_CASE("platform orders have the expected body and map responses to progress") {
    testing::fake_wire wire;
    http::response answer{200, {}, "{}"};
    http::request seen;
    wire.handlers["platform"] = [&](const http::request &it) {
        seen = it;
        return answer;
    };
    order::platform_order_sender sender{wire, "platform", std::chrono::seconds{1}};
    const auto item = order::make_backend_order("o1", order::backend_action::stop, "rajkot", "h7", "planned");
    const auto send = [&] { return sender.send(item, 1, [] { return true; }); };
    CHECK(send().value() == order::order_progress::done);
    CHECK(seen.target == "/v1/backend_orders");
    CHECK(nlohmann::json::parse(seen.body) ==
          nlohmann::json{{"order_id", "o1"}, {"action", "stop"}, {"failure_domain", "rajkot"}, {"host", "h7"}});
    answer.status = 400;
    CHECK(send().value() == order::order_progress::failed);
    answer.status = 503;
    CHECK(send().error().kind == error_kind::unknown_outcome);
    answer.status = 429;
    CHECK(send().error().kind == error_kind::refused);
    CHECK(sender.send(item, 1, [] { return false; }).error().kind == error_kind::refused);
}
