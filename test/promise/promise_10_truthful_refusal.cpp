#include <csignal>
#include <doctest/doctest.h>
#include <thread>

#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using test::reply;

namespace {

/** @return Why the answer and the number of runs contradict each other, or an empty text. */
std::string contradiction(const reply &got, std::uint64_t runs) {
    const bool accepted = got.status >= 200 && got.status < 300;
    if (accepted && runs != 1) {
        return "accepted, but it ran " + std::to_string(runs) + " times";
    }
    if (got.ran() == "no" && runs != 0) {
        return "refused as not run, but it ran " + std::to_string(runs) + " times";
    }
    return runs > 1 ? "it ran " + std::to_string(runs) + " times" : "";
}

/** A booking that a thread sends. */
class running_booking {
public:
    running_booking(const test::site &at, std::string name)
        : name_{std::move(name)}, thread_{[this, &at] { got_ = at.book(0, name_); }} {}
    running_booking(const running_booking &) = delete;
    running_booking &operator=(const running_booking &) = delete;
    running_booking(running_booking &&) = delete;
    running_booking &operator=(running_booking &&) = delete;
    ~running_booking() { finish(); }

    const reply &finish() {
        if (thread_.joinable()) {
            thread_.join();
        }
        return got_;
    }

private:
    const std::string name_;
    reply got_;
    std::thread thread_;
};

/** Checks the answer against the service's own count, which must not change afterwards either. */
const reply &check_truth(test::site &it, running_booking &booking, const std::string &name) {
    const auto &got = booking.finish();
    CAPTURE(got.status);
    CAPTURE(got.body);
    CHECK(got.status != 0);
    CHECK(contradiction(got, it.runs_of(name)) == "");
    // A copy of the request that is still on its way must not run later.
    CHECK_FALSE(eventually([&] { return !contradiction(got, it.runs_of(name)).empty(); }, 1s));
    return got;
}

} // namespace

// Shows that the check can fail: a caller that takes a lost answer for "not run" and repeats the call books twice.
TEST_CASE("promise 10: a lost answer taken as not run contradicts the service's count") {
    test::child_process service{"standin_service", {"--lose-answers", "1"}};
    const auto address = service.address("service");
    const http::request message{"POST", "/bookings", {}, R"({"booking_id":"b"})"};
    CHECK(test::site::send(address, message).status == 0);
    const auto runs_of = [&] {
        const auto counts = nlohmann::json::parse(test::site::send(address, {"GET", "/counts", {}, ""}).body);
        return counts.value("b", std::uint64_t{0});
    };
    const reply naive{503, R"({"error":{"code":"x","message":"y","ran":"no"}})", {}};
    CHECK_FALSE(contradiction(naive, runs_of()).empty());
    const auto second = test::site::send(address, message);
    CHECK(second.status == 201);
    CHECK_FALSE(contradiction(second, runs_of()).empty());
}

// Guards against a false "not run" when the agent dies while the service runs the booking.
TEST_CASE("promise 10: the agent is killed after hand-over") {
    test::site it{{.engines = 0, .services = 1, .service_arguments = {"--latency-ms", "1500"}}};
    running_booking booking{it, "b"};
    REQUIRE(eventually([&] { return it.runs_of("b") == 1; }));
    it.agent(0).signal(SIGKILL);
    const auto &got = check_truth(it, booking, "b");
    CHECK(got.ran() == "unknown");
}

// Guards against a second run at another service when the first hand-over's answer is lost.
TEST_CASE("promise 10: the connection to the agent is reset after hand-over") {
    test::site it{{.engines = 0, .services = 2, .service_arguments = {"--latency-ms", "1500"}, .relay_agents = true}};
    running_booking booking{it, "b"};
    REQUIRE(eventually([&] { return it.runs_of("b") == 1; }));
    it.agent_relay(0).cut();
    it.agent_relay(1).cut();
    const auto &got = check_truth(it, booking, "b");
    CHECK(got.ran() == "unknown");
}

// Guards against the same when the connection goes silent instead.
TEST_CASE("promise 10: the connection to the agent goes silent after hand-over") {
    test::site it{{.engines = 0, .services = 2, .service_arguments = {"--latency-ms", "4000"}, .relay_agents = true}};
    running_booking booking{it, "b"};
    REQUIRE(eventually([&] { return it.runs_of("b") == 1; }));
    it.agent_relay(0).silence_open();
    it.agent_relay(1).silence_open();
    const auto &got = check_truth(it, booking, "b");
    CHECK(got.ran() == "unknown");
}

// Guards against "not run" while a copy of the request is kept on a silent connection and delivered later.
TEST_CASE("promise 10: the request is kept by a silent connection and delivered after the answer") {
    test::site it{{.engines = 0, .services = 1, .relay_agents = true}};
    it.agent_relay(0).silence_open(test::direction::to_target);
    running_booking booking{it, "b"};
    const auto got = booking.finish();
    CAPTURE(got.body);
    CHECK(contradiction(got, it.runs_of("b")) == "");
    it.agent_relay(0).release();
    CHECK_FALSE(eventually([&] { return !contradiction(got, it.runs_of("b")).empty(); }, 3s));
}

// Guards against a call that ends as unknown although another service could run it: the agent said that it never
// starts.
TEST_CASE("promise 10: a request that never reached its agent runs elsewhere") {
    test::site it{{.engines = 0, .services = 2, .relay_agents = true}};
    it.agent_relay(0).silence_open(test::direction::to_target);
    for (int n = 0; n < 4; ++n) {
        const auto name = "b-" + std::to_string(n);
        running_booking booking{it, name};
        const auto &got = check_truth(it, booking, name);
        CHECK(got.status == 201);
    }
}

// Guards against a call that is refused as "not run" by an entry that has lost its only agent.
TEST_CASE("promise 10: the agent is dead before the request arrives") {
    test::site it{{.engines = 0, .services = 1}};
    it.agent(0).signal(SIGKILL);
    REQUIRE(it.agent(0).wait() == -SIGKILL);
    running_booking booking{it, "b"};
    const auto &got = check_truth(it, booking, "b");
    CHECK(got.ran() == "no");
    CHECK(it.runs_of("b") == 0);
}

// Guards against answers that are wrong only for some moments of the failure: bookings run all the time while agents
// are killed and connections are reset.
TEST_CASE("promise 10: answers agree with the counts while connections are reset at any moment") {
    test::site it{{.engines = 0, .services = 3, .service_arguments = {"--latency-ms", "20"}, .relay_agents = true}};
    constexpr int callers = 6;
    constexpr int calls = 15;
    std::vector<std::vector<reply>> got(callers);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    const auto name_of = [](int caller, int n) { return "b-" + std::to_string(caller) + "-" + std::to_string(n); };
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int n = 0; n < calls; ++n) {
                got[static_cast<std::size_t>(caller)].push_back(it.book(0, name_of(caller, n)));
            }
        });
    }
    for (std::size_t round = 0; round < 8; ++round) {
        const auto seen = it.runs_of("b-0-" + std::to_string(round));
        (void)eventually([&] { return it.runs_of("b-0-" + std::to_string(round)) != seen; }, 300ms);
        it.agent_relay(round % 3).cut();
    }
    it.agent(0).signal(SIGKILL);
    for (auto &each : threads) {
        each.join();
    }
    std::size_t accepted = 0;
    std::size_t contradictions = 0;
    for (int caller = 0; caller < callers; ++caller) {
        for (int n = 0; n < calls; ++n) {
            const auto &each = got[static_cast<std::size_t>(caller)][static_cast<std::size_t>(n)];
            const auto why = contradiction(each, it.runs_of(name_of(caller, n)));
            contradictions += why.empty() ? 0U : 1U;
            accepted += each.status == 201 ? 1U : 0U;
            CHECK(why == "");
        }
    }
    CHECK(contradictions == 0);
    CHECK(accepted > 0);
}
