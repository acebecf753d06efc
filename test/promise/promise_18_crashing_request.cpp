#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/forward_site.hpp"
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
struct fixture : test::forward_site {
    fixture() {
        configure({"key-1"});
        for (std::size_t n = 0; n < server_count; ++n) {
            start_server();
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            start_gateway(n);
            REQUIRE(eventually([this, n] { return send(n, "read", "probe").status == 200; }));
        }
    }

    void start_server() {
        start_runner("desk-" + std::to_string(next_++), "", {"--crash-target", "/read/bad/1", "--work-ms", "60"});
    }

    /** Starts servers that have ended again after a while. */
    void restart_servers() {
        for (std::size_t n = drop_ended_runners().size(); n > 0; --n) {
            ended_at.push_back(steady::now());
            restarts_due_.push_back(steady::now() + restart_time);
        }
        while (!restarts_due_.empty() && steady::now() >= restarts_due_.front()) {
            restarts_due_.erase(restarts_due_.begin());
            start_server();
        }
    }

    std::vector<steady::time_point> ended_at;

private:
    int next_{0};
    std::vector<steady::time_point> restarts_due_;
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
        it.restart_servers();
        std::this_thread::sleep_for(20ms);
    }
    stop = true;
    clients.clear();
    REQUIRE(it.ended_at.size() >= ends_before_limit);
    const auto limited_from = it.ended_at.at(ends_before_limit - 1) + contact_time;
    const auto runs = it.runs();
    int late_runs = 0;
    for (const auto &[id, at] : crashing_sent) {
        const auto found = runs.find(id);
        late_runs += at > limited_from && found != runs.end() ? found->second : 0;
        // What is said not to have run must not have run.
        CHECK((statuses[id] != 503 || found == runs.end()));
    }
    CAPTURE(it.ended_at.size());
    CHECK(late_runs <= allowed_after_limit);
    CHECK(sound_sent_late > 20);
    CHECK(sound_served_late >= sound_sent_late * 9 / 10);
}
