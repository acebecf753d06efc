#include <algorithm>
#include <doctest/doctest.h>

#include "order/backend_ordering.hpp"
#include "support/order_fixture.hpp"

using namespace dotterelstack;
using testing::order_fixture;

namespace {

constexpr auto journal = "order/platform/rajkot/h1";

// The platform does not know fences; it records which order came from which authority.
struct fake_platform {
    std::vector<std::string> received;

    http::response operator()(const http::request &message) {
        received.push_back(nlohmann::json::parse(message.body).at("order_id").get<std::string>());
        return {200, {}, "{}"};
    }

    [[nodiscard]] int of(const std::string &id) const { return static_cast<int>(std::ranges::count(received, id)); }
};

struct platform_fixture : order_fixture {
    fake_platform platform;
    order::platform_order_sender platform_sender{wire, "platform", std::chrono::seconds{1}};

    platform_fixture() {
        wire.handlers["platform"] = [this](const http::request &it) { return platform(it); };
    }

    static order::order start_order(const std::string &id) {
        return order::make_backend_order(id, order::backend_action::start, "rajkot", "h1", "automatic");
    }

    // The naive leader checks the lease, then sends whatever it has decided.
    void send_naively(testing::planner_process &it, const std::string &id) {
        if (it.lease_state.held()) {
            if (const auto pause = std::exchange(wire.before_check, {})) {
                pause();
            }
            (void)wire.call("platform", {"POST", "/v1/backend_orders", {}, nlohmann::json{{"order_id", id}}.dump()},
                            {});
        }
    }
};

} // namespace

// Guards against two start orders for one need, from a paused leader and its successor.
TEST_CASE("promise 7: of two believers only the holder reaches the platform") {
    platform_fixture naive;
    auto naive_a = naive.start("a");
    auto naive_b = naive.start("b");
    naive.acquire(*naive_a);
    naive.wire.before_check = [&] {
        naive.acquire(*naive_b);
        naive.send_naively(*naive_b, "from-b");
    };
    naive.send_naively(*naive_a, "from-a");
    CHECK(naive.platform.received.size() == 2);

    platform_fixture it;
    auto a = it.start("a", journal);
    auto b = it.start("b", journal);
    it.acquire(*a);
    REQUIRE(a->journal.begin(platform_fixture::start_order("from-a")));
    REQUIRE(b->journal.begin(platform_fixture::start_order("from-b")));
    it.wire.before_check = [&] {
        it.acquire(*b);
        CHECK_FALSE(a->lease_state.held());
        it.drive(*b, 20, it.platform_sender);
    };
    it.drive(*a, 5, it.platform_sender);
    // The successor completed the stored intent; its own decision was dropped, the paused leader sent nothing.
    CHECK(it.platform.received == std::vector<std::string>{"from-a"});
    CHECK(b->lease_state.held());
    CHECK(b->journal.take_results().at(0).how == order::order_result::ending::dropped);
}

// Guards against a second order, with another id, after a lost answer of the platform.
TEST_CASE("promise 7: a lost answer of the platform is repeated with the same id") {
    platform_fixture naive;
    auto leader = naive.start("a");
    naive.acquire(*leader);
    naive.wire.lose_answer_of = "platform";
    naive.send_naively(*leader, "try-1");
    naive.send_naively(*leader, "try-2");
    CHECK(naive.platform.of("try-1") + naive.platform.of("try-2") == 2);

    platform_fixture it;
    auto a = it.start("a", journal);
    it.acquire(*a);
    it.wire.lose_answer_of = "platform";
    REQUIRE(a->journal.begin(platform_fixture::start_order("o1")));
    it.drive(*a, 30, it.platform_sender);
    CHECK(it.platform.of("o1") == 2);
    CHECK(it.platform.received.size() == 2);
    CHECK(a->journal.take_results().at(0).how == order::order_result::ending::done);
}

// Guards against orders by a leader that is cut off from the store while its successor takes over.
TEST_CASE("promise 7: a leader without store stops before its successor may start") {
    for (const bool naive : {true, false}) {
        platform_fixture it;
        auto a = it.start("a", journal);
        auto b = it.start("b", journal);
        it.acquire(*a);
        const auto check = *a->lease_state.authority();
        // The naive leader keeps its role until it reads that another process has it, which it cannot do here.
        const auto believes = [&] { return naive || check(); };
        bool overlap = false;
        for (int n = 0; n < 120; ++n) {
            lease::drive_lease(b->lease_state, it.store, it.ids);
            overlap = overlap || (believes() && b->lease_state.held());
            it.clock.advance(std::chrono::milliseconds{100});
        }
        CHECK(b->lease_state.held());
        CHECK(overlap == naive);
    }
}
