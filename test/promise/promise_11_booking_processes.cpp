#include <csignal>
#include <doctest/doctest.h>
#include <thread>

#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using test::reply;

namespace {

/** Sends the same booking with the same key from several threads, spread over the entries. */
std::vector<reply> book_at_once(const test::site &it, std::size_t entries, const std::string &name, std::size_t count) {
    std::vector<reply> out(count);
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        threads.emplace_back([&, n] { out[n] = it.book(n % entries, name, "key-" + name); });
    }
    for (auto &each : threads) {
        each.join();
    }
    return out;
}

std::size_t accepted(const std::vector<reply> &all) {
    return static_cast<std::size_t>(std::ranges::count_if(all, [](const reply &it) { return it.status == 201; }));
}

/** Repeats a booking at one entry until it is answered with a status that repeating does not change. */
reply repeat(const test::site &it, std::size_t entry, const std::string &name) {
    reply got;
    (void)eventually(
        [&] {
            got = it.book(entry, name, "key-" + name);
            return got.status == 201 || got.code() == "outcome_unknown";
        },
        10s);
    return got;
}

} // namespace

// Shows that the check can fail: a service without claims runs a repeated booking again.
TEST_CASE("promise 11: a booking repeated straight at the service runs twice") {
    test::child_process service{"standin_service"};
    const auto address = service.address("service");
    const http::request message{"POST", "/bookings", {{"Idempotency-Key", "k"}}, R"({"booking_id":"b"})"};
    CHECK(test::site::send(address, message).status == 201);
    CHECK(test::site::send(address, message).status == 201);
    const auto counts = nlohmann::json::parse(test::site::send(address, {"GET", "/counts", {}, ""}).body);
    CHECK(counts.at("b") == 2);
}

// Guards against two entries that both run a booking because neither knows of the other's request.
TEST_CASE("promise 11: the same booking through two entries at once runs once") {
    test::site it{{.engines = 0, .services = 2, .entries = 2, .service_arguments = {"--latency-ms", "50"}}};
    for (int round = 0; round < 10; ++round) {
        const auto name = "b-" + std::to_string(round);
        const auto got = book_at_once(it, 2, name, 4);
        CHECK(accepted(got) >= 1);
        CHECK(it.runs_of(name) == 1);
        // A repeat later, at either entry, is answered with the kept response.
        for (std::size_t entry = 0; entry < 2; ++entry) {
            const auto again = repeat(it, entry, name);
            CHECK(again.status == 201);
            CHECK(nlohmann::json::parse(again.body).at("runs") == 1);
        }
        CHECK(it.runs_of(name) == 1);
    }
}

// Guards against a booking that runs again because the entry that claimed it was killed.
TEST_CASE("promise 11: a booking repeated after its entry was killed does not run again") {
    test::site it{{.engines = 0, .services = 2, .entries = 2, .service_arguments = {"--latency-ms", "1000"}}};
    std::thread caller{[&] { (void)it.book(0, "b", "key-b"); }};
    const bool running = eventually([&] { return it.runs_of("b") == 1; });
    it.entry(0).signal(SIGKILL);
    caller.join();
    REQUIRE(running);
    for (int n = 0; n < 5; ++n) {
        const auto again = it.book(1, "b", "key-b");
        CAPTURE(again.body);
        CHECK(again.status >= 400);
        CHECK(it.runs_of("b") == 1);
    }
}

// Guards against a claim that is believed lost, and made again, when only the store's answer was lost.
TEST_CASE("promise 11: lost answers of the store do not lead to a second run") {
    test::site it{{.engines = 0, .services = 2, .entries = 2, .service_arguments = {"--latency-ms", "20"}}};
    std::size_t sum = 0;
    for (int round = 0; round < 10; ++round) {
        const auto name = "b-" + std::to_string(round);
        it.store_faults({{"lose_answers", 2}, {"prefix", "claim/"}});
        const auto got = book_at_once(it, 2, name, 4);
        sum += accepted(got);
        CHECK(it.runs_of(name) <= 1);
        CHECK((accepted(got) == 0 || it.runs_of(name) == 1));
        (void)repeat(it, static_cast<std::size_t>(round) % 2, name);
        CHECK(it.runs_of(name) <= 1);
    }
    CHECK(sum > 0);
}

// Guards against a booking that runs without a claim, and against a refusal that is not true.
TEST_CASE("promise 11: with the store down a booking with a key is refused as not run") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    it.store_faults({{"outage", true}});
    const auto got = it.book(0, "b", "key-b");
    CHECK(got.status == 503);
    CHECK(got.ran() == "no");
    CHECK(it.runs_of("b") == 0);
    it.store_faults({{"outage", false}});
    const auto later = repeat(it, 1, "b");
    CHECK(later.status == 201);
    CHECK(it.runs_of("b") == 1);
}

// Guards against a claim that was held back by a silent store, refused to the caller, and carried out much later: the
// next booking with this key must still run at most once.
TEST_CASE("promise 11: a claim that a silent store carries out late does not lead to a second run") {
    test::site it{{.engines = 0, .services = 1, .entries = 2, .entry_overrides = {"timings.store_timeout_ms=500"}}};
    it.store_faults({{"silent", true}});
    const auto first = it.book(0, "b", "key-b");
    CHECK(first.status >= 400);
    CHECK((first.ran() != "no" || it.runs_of("b") == 0));
    it.store_faults({{"silent", false}});
    const auto later = repeat(it, 1, "b");
    CAPTURE(later.body);
    CHECK(it.runs_of("b") <= 1);
    CHECK((later.status != 201 || it.runs_of("b") == 1));
}

// Guards against a key that lets another organisation read the response of a booking, or blocks it.
TEST_CASE("promise 11: the same key of another organisation is another booking") {
    test::site it{{.engines = 0, .services = 1, .entries = 1}};
    CHECK(it.book(0, "b", "same").status == 201);
    const auto other =
        test::site::send(it.callers(), {"POST",
                                        "/services/booking/bookings",
                                        {{"Authorization", "Bearer " + it.key(1)}, {"Idempotency-Key", "same"}},
                                        R"({"booking_id":"c"})"});
    CHECK(other.status == 201);
    CHECK(it.runs_of("b") == 1);
    CHECK(it.runs_of("c") == 1);
}
