#include "gateway/quota_client.hpp"

#include <doctest/doctest.h>

#include "gateway/fixture.hpp"
#include "gateway/quota_bank_service.hpp"
#include "gateway/quota_codec.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::forwarder_fixture;

namespace {

/** One gateway that is its own bank, with a quota of two requests a second for `sangh`. */
struct fixture : forwarder_fixture {
    explicit fixture(limits::quota limit = {.rate = 2, .burst = 4}) {
        auto values = test::sample_values();
        values.organisations->front().quota = limit;
        bank.bank.set_quotas({{"sangh", limit}});
        bank.bank.set_gateways(1);
        configure(values);
        populate();
        subject.set_gateways(
            {.own = "one", .listed = true, .own_name = "host", .named = {{"host", "address"}}, .names = 1});
        for (int n = 0; n < 1000; ++n) {
            clock.advance(100ms);
            subject.tick();
        }
    }

    void answer_bank() {
        subject.on_quota_answer(bank.calls.back(), gateway::quota_call_end::answered, bank.bank.answer(bank.last));
    }
};

} // namespace

// Guards against requests beyond a quota that run, and refusals that do not tell when to return.
TEST_CASE("requests over the quota of their organisation get 429 with Retry-After, and others are served") {
    fixture it;
    int refused = 0;
    for (int n = 0; n < 20; ++n) {
        if (const auto caller = it.send("/book/1"); caller->status() == 429) {
            ++refused;
            CHECK(caller->answers.back().body.find("quota_exceeded") != std::string::npos);
            CHECK_FALSE(caller->field("Retry-After").empty());
        }
        it.clock.advance(60ms);
        it.subject.tick();
    }
    CHECK(it.backends.calls.size() >= 5);
    CHECK(it.backends.calls.size() <= 4 + 2 + 2);
    CHECK(refused >= 20 - 8);
    CHECK(it.send("/book/1", {}, "key-ward")->status() != 429);
    it.clock.advance(2s);
    it.subject.tick();
    CHECK(it.metrics.text().find("quota_refused{organisation=\"sangh\"}") != std::string::npos);
}

// Guards against quotas that bind callers who have no organisation.
TEST_CASE("public routes have no quota") {
    fixture it{{.rate = 0.001, .burst = 1}};
    auto values = test::sample_values();
    values.version = 4;
    values.organisations->front().quota = limits::quota{.rate = 0.001, .burst = 1};
    values.routes[2].is_public = true;
    it.configure(values);
    for (int n = 0; n < 10; ++n) {
        CHECK(it.send("/book/1", {}, "")->status() != 429);
    }
}

// Guards against a quota that is used up by requests which never ran.
TEST_CASE("a request that is refused as not run gives its charge back, once") {
    fixture it{{.rate = 0.05, .burst = 3}};
    it.subject.on_backends({});
    for (int n = 0; n < 20; ++n) {
        const auto caller = it.send("/book/1");
        it.clock.advance(1100ms);
        it.subject.tick();
        CHECK(caller->status() == 503);
    }
}

// Guards against requests that wait for a bank which does not answer.
TEST_CASE("a request that the bank may have something for waits for its answer for a short time") {
    fixture it;
    it.bank.at_once = false;
    it.bank.calls.clear();
    (void)it.send("/book/1");
    const auto sent = it.backends.calls.size();
    const auto waits = it.send("/book/2");
    CHECK(waits->answers.empty());
    CHECK(it.backends.calls.size() == sent);
    REQUIRE(it.bank.calls.size() == 1);
    it.answer_bank();
    CHECK(it.backends.calls.size() == sent + 1);
    it.clock.advance(60ms);
    std::shared_ptr<test::fake_caller> last;
    for (auto before = it.backends.calls.size(); !last || it.backends.calls.size() > before;) {
        before = it.backends.calls.size();
        last = it.send("/book/3");
    }
    CHECK(last->answers.empty());
    it.clock.advance(160ms);
    it.subject.tick();
    CHECK(last->status() == 429);
}

// Guards against messages of sites that limit nobody.
TEST_CASE("without a quota in the configuration nothing is sent") {
    forwarder_fixture it;
    it.configure();
    it.populate();
    it.subject.set_gateways(
        {.own = "one", .listed = true, .own_name = "host", .named = {{"host", "address"}}, .names = 1});
    (void)it.send("/book/1");
    it.clock.advance(5s);
    it.subject.tick();
    CHECK(it.bank.calls.empty());
}

// Guards against a gateway that stays with a bank which has ended or is silent, or never returns to the first one.
TEST_CASE("the next gateway becomes the bank when the first one fails, until it answers again") {
    base::manual_clock clock;
    limits::quota_ledger ledger{clock};
    struct addresses final : gateway::quota_port {
        std::vector<std::string> sent;
        std::uint64_t call{0};
        std::optional<limits::quota_answer> send(std::string_view address, std::uint64_t number,
                                                 const limits::quota_report &) override {
            sent.emplace_back(address);
            call = number;
            return std::nullopt;
        }
    } port;
    gateway::quota_client subject{clock, ledger, &port};
    ledger.set_quotas({{"sangh", {.rate = 1, .burst = 1}}});
    subject.set_group({.own = "a", .listed = true, .own_name = "a", .named = {{"a", "1"}, {"b", "2"}, {"c", "3"}}});
    std::uint64_t sequence = 0;
    const auto answer = [&](gateway::quota_call_end how) {
        subject.on_end(port.call, how, limits::quota_answer{.sequence = ++sequence, .rows = {}, .dry = {}});
    };
    subject.tick();
    REQUIRE(port.sent.size() == 1);
    const auto first = port.sent.front();
    answer(gateway::quota_call_end::answered);
    clock.advance(500ms);
    subject.tick();
    answer(gateway::quota_call_end::ended);
    subject.tick();
    REQUIRE(port.sent.size() == 3);
    const auto second = port.sent.back();
    CHECK(second != first);
    answer(gateway::quota_call_end::answered);
    for (int n = 0; n < 2; ++n) {
        clock.advance(500ms);
        subject.tick();
        CHECK(port.sent.back() == second);
        answer(gateway::quota_call_end::silent);
    }
    subject.tick();
    const auto third = port.sent.back();
    CHECK(third != second);
    answer(gateway::quota_call_end::answered);
    clock.advance(5s);
    subject.tick();
    answer(gateway::quota_call_end::answered);
    subject.tick();
    CHECK(port.sent.back() == first);
    port.sent.clear();
    answer(gateway::quota_call_end::answered);
    clock.advance(1100ms);
    subject.tick();
    CHECK(port.sent == std::vector{first});
}

// Guards against messages that other processes read differently, and against input that ends the process.
TEST_CASE("messages about quotas are read as they were written, and others are refused") {
    const limits::quota_report report{"host", "one", 7, {{"sangh", -3, 5, 9}}};
    const auto read = gateway::parse_quota_report(gateway::to_text(report));
    REQUIRE(read);
    CHECK(gateway::to_text(*read) == gateway::to_text(report));
    const limits::quota_answer answer{7, {{"sangh", 5, -2}}, {"ward"}};
    const auto again = gateway::parse_quota_answer(gateway::to_text(answer));
    REQUIRE(again);
    CHECK(gateway::to_text(*again) == gateway::to_text(answer));
    for (const auto *bad : {"", "[]", "{}", R"({"sequence":1,"gateway":"g","incarnation":"i","rows":[1]})",
                            R"({"sequence":1,"gateway":"g","incarnation":"i","rows":[["o",1,2,9223372036854775807]]})",
                            R"({"sequence":1,"rows":[["o"]],"dry":3})"}) {
        CAPTURE(bad);
        CHECK_FALSE(gateway::parse_quota_report(bad));
        CHECK_FALSE(gateway::parse_quota_answer(bad));
    }
    base::manual_clock clock;
    metrics::registry metrics;
    gateway::quota_bank_service bank{clock, metrics};
    CHECK(bank.answer_peer({"POST", std::string{gateway::quota_path}, {}, "{"}).status == 400);
    CHECK(bank.answer_peer({"POST", std::string{gateway::quota_path}, {}, gateway::to_text(report)}).status == 200);
}
