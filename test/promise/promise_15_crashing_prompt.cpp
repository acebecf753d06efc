#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <thread>

#include "support/restarting_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t engine_count = 10;
constexpr std::size_t gateway_count = 3;
constexpr auto restart_time = 400ms;
// The gateways' default; the rules count from so long after the fifth end.
constexpr auto contact_time = 3s;
constexpr std::size_t ends_before_limit = 5;
constexpr int allowed_after_limit = 3;

/** Engines that end when they begin to answer a prompt with a certain part, and that are started again. */
struct fixture : test::restarting_site {
    fixture() : restarting_site{"engine", "decode", {"--crash-part", "badbad"}, restart_time} {
        configure({"key-1"});
        for (std::size_t n = 0; n < engine_count; ++n) {
            start_next_runner();
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            start_gateway(n);
        }
        REQUIRE(eventually([this] {
            bool all = true;
            for (std::size_t n = 0; n < gateway_count; ++n) {
                all = all && send(n, "query", "probe").status == 200;
            }
            return all;
        }));
    }
};

/** @return The parts of a prompt; the last one is the request's own. */
http::field_list parts(const std::string &middle, int own) {
    char hex[9];
    std::snprintf(hex, sizeof hex, "%x", 0x100000 + own);
    return {{"Prompt-Prefix", "a2:100," + middle + ":200," + hex + ":100"}};
}

} // namespace

// Guards against a part of prompts that ends one engine after the other, because each request with it is sent to the
// engines that are left.
TEST_CASE("promise 15: prompts that crash engines are recognised by a common part, and other work goes on") {
    fixture it;
    std::atomic<bool> stop{false};
    std::atomic<int> next{0};
    std::atomic<int> sound_sent_late{0};
    std::atomic<int> sound_served_late{0};
    std::mutex mutex;
    std::map<std::string, steady::time_point> crashing_sent;
    std::map<std::string, int> statuses;
    const auto begun = steady::now();
    std::vector<std::jthread> clients;
    clients.reserve(2 * gateway_count);
    for (std::size_t n = 0; n < gateway_count; ++n) {
        clients.emplace_back([&, n] {
            while (!stop) {
                const int own = next++;
                const auto id = "bad-" + std::to_string(own);
                {
                    const std::scoped_lock lock{mutex};
                    crashing_sent[id] = steady::now();
                }
                const auto status = it.send(n, "query", id, "key-1", parts("badbad", own)).status;
                const std::scoped_lock lock{mutex};
                statuses[id] = status;
                std::this_thread::sleep_for(600ms);
            }
        });
        clients.emplace_back([&, n] {
            while (!stop) {
                const int own = next++;
                const auto sent = steady::now();
                const auto id = "good-" + std::to_string(own);
                const bool served = it.send(n, "query", id, "key-1", parts("600d", own)).status == 200;
                const bool late = sent > begun + 9s;
                sound_sent_late += late ? 1 : 0;
                sound_served_late += late && served ? 1 : 0;
                std::this_thread::sleep_for(30ms);
            }
        });
    }
    while (steady::now() < begun + 12s) {
        it.replace_ended_runners();
        std::this_thread::sleep_for(50ms);
    }
    stop = true;
    clients.clear();
    const auto runs = it.runs();
    for (const auto &[id, status] : statuses) {
        // What is said not to have run must not have run.
        CHECK((status != 503 || !runs.contains(id)));
    }
    CAPTURE(it.ended_at().size());
    const bool limited = it.ended_at().size() >= ends_before_limit;
    const int late_runs =
        limited ? it.runs_sent_after(crashing_sent, it.ended_at()[ends_before_limit - 1] + contact_time) : 0;
    CHECK(late_runs <= allowed_after_limit);
    CHECK(sound_sent_late > 20);
    CHECK(sound_served_late >= sound_sent_late * 9 / 10);
}

// Guards against refusing a sound part for as long as a crashing one that it was always together with, when the
// gateways have seen neither of them answered (review, further faults, second row).
TEST_CASE("promise 15: a sound part that is held together with a crashing one is cleared") {
    fixture it;
    const auto with_first = [](const std::string &rest, int own) {
        char hex[9];
        std::snprintf(hex, sizeof hex, "%x", 0x200000 + own);
        return http::field_list{{"Prompt-Prefix", "c3:100," + rest + std::string{hex} + ":100"}};
    };
    std::map<std::string, steady::time_point> crashing_sent;
    int sound_sent = 0;
    int sound_served = 0;
    const auto begun = steady::now();
    // The fifth end, or the last one if there are fewer: from then on the rules count.
    const auto decisive_end = [&it] { return it.ended_at()[std::min(it.ended_at().size(), ends_before_limit) - 1]; };
    for (int own = 0; steady::now() < begun + 16s; ++own) {
        const auto gateway = static_cast<std::size_t>(own) % gateway_count;
        const auto id = "bad-" + std::to_string(own);
        crashing_sent[id] = steady::now();
        (void)it.send(gateway, "query", id, "key-1", with_first("badbad:200,", own));
        if (steady::now() > begun + 5s) {
            const bool counted = !it.ended_at().empty() && steady::now() > decisive_end() + 2 * contact_time;
            const auto answer = it.send((gateway + 1) % gateway_count, "query", "good-" + std::to_string(own), "key-1",
                                        with_first("", own));
            sound_sent += counted ? 1 : 0;
            sound_served += counted && answer.status == 200 ? 1 : 0;
        }
        it.replace_ended_runners();
        std::this_thread::sleep_for(250ms);
    }
    CAPTURE(it.ended_at().size());
    REQUIRE_FALSE(it.ended_at().empty());
    CHECK(it.runs_sent_after(crashing_sent, decisive_end() + contact_time) <= allowed_after_limit);
    CHECK(sound_sent >= 20);
    CHECK(sound_served * 2 >= sound_sent);
}
