#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <doctest/doctest.h>
#include <thread>
#include <utility>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t gateway_count = 3;
// The gateways' default; the rule counts from so long after the limit was first named.
constexpr auto contact_time = 3s;
constexpr auto window = 4s;
constexpr double limit = 3;
constexpr double allowed = 1.5 * limit * 4 + 5;

/** Largest number of arrivals in any time of the length of the window, from samples of their total. */
class sliding_maximum {
public:
    void add(steady::time_point at, std::uint64_t total) {
        samples_.emplace_back(at, total);
        while (samples_.front().first < at - window) {
            samples_.pop_front();
        }
        most_ = std::max(most_, total - samples_.front().second);
    }

    [[nodiscard]] std::uint64_t most() const noexcept { return most_; }

private:
    std::deque<std::pair<steady::time_point, std::uint64_t>> samples_;
    std::uint64_t most_{0};
};

/** Clients that send without pause, unevenly: twice as many at each further gateway. */
class clients {
public:
    clients(const test::forward_site &site, std::chrono::milliseconds pause) {
        for (std::size_t n = 0; n < gateway_count; ++n) {
            for (std::size_t k = 0; k < (std::size_t{1} << n); ++k) {
                threads_.emplace_back([this, &site, pause, n](const std::stop_token &token) {
                    while (!token.stop_requested()) {
                        const auto id = "load-" + std::to_string(100000 + next_++);
                        const auto status = site.send(n, next_ % 4 == 0 ? "draft" : "query", id).status;
                        served_ += status == 200 ? 1 : 0;
                        ++sent_;
                        std::this_thread::sleep_for(pause);
                    }
                });
            }
        }
    }

    [[nodiscard]] int sent() const noexcept { return sent_; }
    [[nodiscard]] int served() const noexcept { return served_; }

private:
    std::atomic<int> next_{0};
    std::atomic<int> sent_{0};
    std::atomic<int> served_{0};
    std::vector<std::jthread> threads_;
};

struct fixture : test::forward_site {
    explicit fixture(const std::vector<std::string> &limited) {
        configure({"key-1"});
        start_runner("prefill-1", "prefill");
        for (const auto *id : {"engine-1", "engine-2", "engine-3"}) {
            start_runner(id, "decode", std::string_view{id} == "engine-1" ? limited : std::vector<std::string>{});
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            start_gateway(n);
        }
        REQUIRE(eventually([this] {
            bool all = true;
            for (std::size_t n = 0; n < gateway_count; ++n) {
                all = all && send(n, "query", "probe-" + std::to_string(10 + n)).status == 200;
            }
            return all;
        }));
    }
};

} // namespace

// Guards against gateways that each know a server's limit on requests and together send far more.
TEST_CASE("promise 16: a server that names a limit gets no more than that from all gateways, and the rest is served") {
    fixture it{{"--limit", "3.0"}};
    const clients load{it, 20ms};
    std::this_thread::sleep_for(contact_time);
    sliding_maximum seen;
    const auto begun = steady::now();
    const int sent_before = load.sent();
    const int served_before = load.served();
    const auto arrived_before = it.arrivals("engine-1");
    while (steady::now() < begun + 10s) {
        seen.add(steady::now(), it.arrivals("engine-1"));
        std::this_thread::sleep_for(50ms);
    }
    CHECK(static_cast<double>(seen.most()) <= allowed);
    // The limited server is used, too, and what it does not take is served elsewhere.
    CHECK(it.arrivals("engine-1") > arrived_before + 10);
    const int sent = load.sent() - sent_before;
    CHECK(sent > 300);
    CHECK(load.served() - served_before >= sent * 95 / 100);
}

// Guards against a server that is left at its limit although its answers name none any more.
TEST_CASE("promise 16: a limit ends with the first answers that do not name it") {
    fixture it{{"--limit", "3.0", "--limit-ms", "6000"}};
    const clients load{it, 20ms};
    std::this_thread::sleep_for(8s);
    const auto before = it.arrivals("engine-1");
    CHECK(eventually([&] { return static_cast<double>(it.arrivals("engine-1") - before) > 20 * limit; }, 6s));
}
