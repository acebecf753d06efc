#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/restarting_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t server_count = 3;
constexpr std::size_t gateway_count = 3;
constexpr auto restart_time = 1s;
// The gateways' default; the rule counts from so long after the third end.
constexpr auto contact_time = 3s;
constexpr std::size_t ends_before_limit = 3;
constexpr int allowed_after_limit = 3;
constexpr auto duration = 15s;
// From then on the servers have been started again, and nothing may end them any more.
constexpr auto calm_after = 10s;

/** Servers that end when they work on one certain request, and that are started again. */
struct fixture : test::restarting_site {
    fixture() : restarting_site{"desk", "", {"--crash-target", "/read/bad/1", "--work-ms", "60"}, restart_time} {
        configure({"key-1"});
        for (std::size_t n = 0; n < server_count; ++n) {
            start_next_runner();
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            start_gateway(n);
            REQUIRE(eventually([this, n] { return send(n, "read", "probe").status == 200; }));
        }
    }
};

} // namespace

// Guards against a request that ends one server after the other, because it comes again under another id and at another
// gateway.
TEST_CASE("promise 18: a request that crashes the servers that run it is recognised when it comes again") {
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
    for (std::size_t n = 0; n < gateway_count; ++n) {
        clients.emplace_back([&, n] {
            while (!stop) {
                const auto id = "bad-" + std::to_string(next++);
                {
                    const std::scoped_lock lock{mutex};
                    crashing_sent[id] = steady::now();
                }
                const auto status = it.send(n, "read/bad", id).status;
                const std::scoped_lock lock{mutex};
                statuses[id] = status;
                std::this_thread::sleep_for(500ms);
            }
        });
        // Bookings that differ, and a read that comes again and again but is sound.
        for (const std::string kind : {"book", "read"}) {
            clients.emplace_back([&, n, kind] {
                while (!stop) {
                    const auto number = std::to_string(next++);
                    const auto sent = steady::now();
                    auto target = kind;
                    if (kind == "book") {
                        target.append("/").append(number);
                    }
                    const bool served = it.send(n, target, "good-" + number).status == 200;
                    const bool late = sent > begun + calm_after;
                    sound_sent_late += late ? 1 : 0;
                    sound_served_late += late && served ? 1 : 0;
                    std::this_thread::sleep_for(50ms);
                }
            });
        }
    }
    while (steady::now() < begun + duration) {
        it.replace_ended_runners();
        std::this_thread::sleep_for(20ms);
    }
    stop = true;
    clients.clear();
    REQUIRE(it.ended_at().size() >= ends_before_limit);
    const auto runs = it.runs();
    for (const auto &[id, status] : statuses) {
        // What is said not to have run must not have run.
        CHECK((status != 503 || !runs.contains(id)));
    }
    CAPTURE(it.ended_at().size());
    const int late_runs = it.runs_sent_after(crashing_sent, it.ended_at()[ends_before_limit - 1] + contact_time);
    CHECK(late_runs <= allowed_after_limit);
    CHECK(sound_sent_late > 20);
    CHECK(sound_served_late >= sound_sent_late * 9 / 10);
}
