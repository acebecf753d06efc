#include "limits/admission.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace std::chrono_literals;
using dotterelstack::base::duration;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

constexpr row_key large{"large", "drafting"};
constexpr row_key small{"small", "drafting"};

submission request(std::string_view id, row_key row, std::uint64_t prompt = 100, std::uint64_t generated = 10) {
    return {id, row, prompt, generated, 0, instant::max()};
}

} // namespace

// Guards against a limit that is not applied, or that is refused with another limit's reason.
TEST_CASE("each limit refuses with its own reason when nothing may wait") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 100);
    const auto second_refusal = [&](row_limits limits) {
        limits.max_queue = 0;
        it.remove_row(small);
        it.set_row(small, limits);
        CHECK(it.submit(request("a", small, 100, 10)).outcome == verdict::admitted);
        auto answer = it.submit(request("b", small, 100, 10));
        CHECK(answer.outcome == verdict::refused);
        CHECK(it.cancel("a"));
        return answer;
    };
    CHECK(second_refusal({.max_concurrency = 1}).reason == refusal::concurrency);
    CHECK(second_refusal({.requests_per_second = 1}).reason == refusal::rate);
    CHECK(second_refusal({.prompt_tokens_per_second = 100}).reason == refusal::prompt_tokens);
    CHECK(second_refusal({.generated_tokens_per_second = 10}).reason == refusal::generated_tokens);
    it.set_capacity("drafting", 1);
    CHECK(second_refusal({}).reason == refusal::capacity);
    CHECK(it.submit(request("c", {"nobody", "drafting"})).reason == refusal::unknown_row);
}

// Guards against a constant Retry-After: it must follow the refill rate and the queue ahead.
TEST_CASE("retry_after follows the refill rate and the queue") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 100);
    it.set_row(small, {.requests_per_second = 0.5, .max_queue = 2});
    CHECK(it.submit(request("a", small)).outcome == verdict::admitted);
    CHECK(it.submit(request("b", small)).outcome == verdict::queued);
    CHECK(it.submit(request("c", small)).outcome == verdict::queued);
    const auto full = it.submit(request("d", small));
    CHECK(full.reason == refusal::queue_full);
    // Request a left a debt of 0.5. The bucket must refill this, 1 each for b and c, and a burst of 0.5: 3 units at
    // 0.5/s.
    CHECK(std::chrono::duration<double>(full.retry_after).count() == doctest::Approx(6.0));
    clock.advance(2s + 1us);
    const auto out = it.poll();
    REQUIRE(out.size() == 1);
    CHECK(out[0].request == "b");
}

// Guards against a request that waits until its deadline although the limits already make it impossible to meet.
TEST_CASE("a request that cannot meet its deadline is refused when that is known") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 100);
    it.set_row(small, {.requests_per_second = 1});
    CHECK(it.submit(request("a", small)).outcome == verdict::admitted);
    auto short_deadline = request("b", small);
    short_deadline.deadline = clock.now() + 500ms;
    const auto refused = it.submit(short_deadline);
    CHECK(refused.reason == refusal::rate);
    CHECK(refused.retry_after >= 999ms);
    auto long_deadline = request("c", small);
    long_deadline.deadline = clock.now() + 5s;
    CHECK(it.submit(long_deadline).outcome == verdict::queued);
    long_deadline.request = "d";
    CHECK(it.submit(long_deadline).outcome == verdict::queued);
    // c may still go after a full burst (1 s), d only after another 10 s.
    it.set_row(small, {.requests_per_second = 0.1});
    const auto out = it.poll();
    REQUIRE(out.size() == 1);
    CHECK(out[0].request == "d");
    CHECK(out[0].reason == refusal::rate);
    CHECK(clock.now() < long_deadline.deadline);
}

// Guards against requests that wait indefinitely for a service without slots.
TEST_CASE("a request waiting for capacity is refused at its deadline and not later") {
    manual_clock clock;
    admission it{clock};
    it.set_row(small, {});
    auto item = request("a", small);
    item.deadline = clock.now() + 1s;
    CHECK(it.submit(item).outcome == verdict::queued);
    REQUIRE(it.next_wakeup().has_value());
    CHECK(*it.next_wakeup() <= item.deadline);
    clock.advance(1s);
    const auto out = it.poll();
    REQUIRE(out.size() == 1);
    CHECK(out[0].reason == refusal::capacity);
    CHECK_FALSE(it.next_wakeup().has_value());
}

// Guards against an organisation with long prompts that starves one with short prompts.
TEST_CASE("slots are shared by served tokens within weights") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 1);
    it.set_row(large, {.weight = 3, .max_queue = 1000});
    it.set_row(small, {.weight = 1, .max_queue = 1000});
    std::map<std::string, double> served;
    for (int n = 0; n < 300; ++n) {
        (void)it.submit(request("l" + std::to_string(n), large, 1000, 0));
        (void)it.submit(request("s" + std::to_string(n), small, 10, 0));
    }
    std::string running = "l0";
    for (int n = 0; n < 100; ++n) {
        const bool is_large = running[0] == 'l';
        it.add_served_tokens(running, is_large ? 1000 : 10, 0);
        clock.advance(10ms);
        CHECK(it.finish(running));
        served[running.substr(0, 1)] += is_large ? 1000 : 10;
        const auto out = it.poll();
        REQUIRE(out.size() == 1);
        running = out[0].request;
    }
    // The ratio must match the weights to within one large request.
    CHECK(std::abs(served["l"] / 3 - served["s"]) <= 1000.0);
}

// Guards against an organisation that accumulates credit while idle and later displaces the others.
TEST_CASE("idle time earns no credit") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 1);
    it.set_row(large, {.max_queue = 1000});
    it.set_row(small, {.max_queue = 1000});
    (void)it.submit(request("l0", large, 100, 0));
    std::string running = "l0";
    int streak = 0;
    for (int n = 1; n < 200; ++n) {
        (void)it.submit(request("l" + std::to_string(n), large, 100, 0));
        if (n >= 100) {
            (void)it.submit(request("s" + std::to_string(n), small, 100, 0));
        }
        it.add_served_tokens(running, 100, 0);
        CHECK(it.finish(running));
        const auto out = it.poll();
        REQUIRE(out.size() == 1);
        running = out[0].request;
        streak = running[0] == 's' ? streak + 1 : 0;
        CHECK(streak <= 2);
    }
}

// Guards against priorities that take effect across organisations, or are ignored within one.
TEST_CASE("priority orders requests within an organisation only") {
    manual_clock clock;
    admission it{clock};
    it.set_row(large, {});
    it.set_row(small, {});
    auto urgent = request("l2", large);
    urgent.priority = 9;
    (void)it.submit(request("l1", large));
    (void)it.submit(urgent);
    (void)it.submit(request("s1", small));
    it.set_capacity("drafting", 2);
    const auto out = it.poll();
    REQUIRE(out.size() == 2);
    CHECK(out[0].request == "l2");
    CHECK(out[1].request == "s1");
}

// Guards against leaked slots or limits when requests end other than by finishing.
TEST_CASE("cancel, removal and duplicate ids release what they held") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 1);
    it.set_row(small, {.max_concurrency = 1});
    CHECK(it.submit(request("a", small)).outcome == verdict::admitted);
    CHECK(it.submit(request("a", small)).reason == refusal::duplicate);
    CHECK(it.submit(request("b", small)).outcome == verdict::queued);
    CHECK(it.submit(request("c", small)).outcome == verdict::queued);
    CHECK(it.cancel("b"));
    CHECK_FALSE(it.cancel("b"));
    CHECK(it.cancel("a"));
    auto out = it.poll();
    REQUIRE(out.size() == 1);
    CHECK(out[0].request == "c");
    CHECK(it.submit(request("d", small)).outcome == verdict::queued);
    it.remove_row(small);
    out = it.poll();
    REQUIRE(out.size() == 1);
    CHECK(out[0].reason == refusal::unknown_row);
    it.set_row(small, {});
    CHECK(it.submit(request("e", small)).outcome == verdict::queued);
    CHECK(it.finish("c"));
    CHECK(it.poll().size() == 1);
    CHECK(it.status(small).running == 1);
}

// Guards against estimates that are never corrected: a long response must count against its row.
TEST_CASE("tokens served beyond the estimate are charged, tokens not used are returned") {
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 10);
    it.set_row(small, {.generated_tokens_per_second = 100, .max_queue = 0});
    CHECK(it.submit(request("a", small, 1, 1000)).outcome == verdict::admitted);
    it.add_served_tokens("a", 1, 400);
    CHECK(it.submit(request("b", small, 1, 10)).reason == refusal::generated_tokens);
    CHECK(it.finish("a"));
    clock.advance(4s);
    CHECK(it.submit(request("c", small, 1, 1000)).outcome == verdict::admitted);
    it.add_served_tokens("c", 1, 1);
    CHECK(it.submit(request("d", small, 1, 1000)).reason == refusal::generated_tokens);
    CHECK(it.finish("c"));
    CHECK(it.submit(request("e", small, 1, 10)).outcome == verdict::admitted);
    // 400 + 1 generated and 1 + 1 prompt tokens were served; e is charged 1 estimated prompt token and at most 10
    // generated.
    CHECK(it.status(small).charged_generated_tokens == doctest::Approx(411));
    CHECK(it.status(small).charged_prompt_tokens == doctest::Approx(3));
    CHECK(it.status(small).admitted == 3);
}
