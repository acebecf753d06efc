#include "gateway/prefix_reuse_estimator.hpp"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace dotterelstack;
using namespace std::chrono_literals;

// Cold start with 180 prefixes, each used every 4.5 s through six gateways. Guards against treating every prefix as
// cached from the first request on, and against treating those that are new to one gateway as not cached anywhere.
TEST_CASE("the estimate follows the fraction of prefixes used through all gateways") {
    constexpr int gateways = 6;
    constexpr int prefixes = 180;
    base::manual_clock clock;
    clock.advance(10s);
    const auto begin = clock.now();
    std::vector<gateway::prefix_reuse_estimator> all;
    for (int n = 0; n < gateways; ++n) {
        all.emplace_back(clock);
        all.back().set_gateways(gateways);
    }
    std::mt19937 engine{7};
    std::uniform_int_distribution<std::uint64_t> any_prefix{1, prefixes};
    std::uniform_int_distribution<std::size_t> any_gateway{0, gateways - 1};
    std::vector<bool> used(prefixes + 1, false);
    int seen = 0;
    // 40 requests a second for 30 s.
    for (int n = 0; n < 1200; ++n) {
        const auto key = any_prefix(engine);
        seen += used[key] ? 0 : 1;
        used[key] = true;
        all[any_gateway(engine)].on_request(key);
        clock.advance(25ms);
        if (n % 40 == 0) {
            for (auto &it : all) {
                it.expire();
            }
        }
        if (n % 100 == 99) {
            const double truth = static_cast<double>(seen) / prefixes;
            for (const auto &it : all) {
                CHECK(std::abs(it.used_since(begin) - truth) < 0.2);
            }
        }
    }
    // An engine that has just started has nothing cached, whatever the others have.
    CHECK(all.front().used_since(clock.now()) < 0.01);
    CHECK(all.front().used_since(begin) > 0.98);
}

// Every prompt begins with a unique segment. Guards against assuming reuse that does not happen.
TEST_CASE("prefixes that never recur are estimated as not cached") {
    base::manual_clock clock;
    gateway::prefix_reuse_estimator it{clock};
    CHECK(it.used_since({}) == 0);
    for (std::uint64_t key = 1; key <= 400; ++key) {
        it.on_request(key);
        clock.advance(50ms);
    }
    CHECK(it.used_since({}) < 0.2);
}
