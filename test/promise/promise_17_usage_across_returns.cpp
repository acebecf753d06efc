#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;

namespace {

constexpr std::size_t gateway_count = 3;

/** Three gateways that report usage in windows of one second, under a steady load. */
struct fixture : test::forward_site {
    fixture() {
        configure({"key-1"});
        start_runner("desk-1", "", {"--slots", "50"});
        for (std::size_t n = 0; n < gateway_count; ++n) {
            start_gateway(n);
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            REQUIRE(eventually([&] { return send(n, "read", "probe-" + std::to_string(n)).status == 200; }));
        }
        REQUIRE(eventually([this] { return holder().has_value(); }));
        for (std::size_t n = 0; n < gateway_count; ++n) {
            clients_.emplace_back([this, n](const std::stop_token &token) {
                while (!token.stop_requested()) {
                    if (!stopped_.at(n)) {
                        (void)send(n, "read", "load-" + std::to_string(next_++));
                    }
                    std::this_thread::sleep_for(10ms);
                }
            });
        }
    }

    /** @return The gateway that holds the lease of the usage reports. */
    [[nodiscard]] std::optional<std::size_t> holder() {
        for (std::size_t n = 0; n < gateway_count; ++n) {
            const auto log = gateway(n).output();
            const auto won = log.rfind("lease_acquired");
            const auto lost = std::max(log.rfind("lease_lost") + 1, log.rfind("lease_released") + 1);
            if (!stopped_.at(n) && won != std::string::npos && won + 1 > lost) {
                return n;
            }
        }
        return std::nullopt;
    }

    /** Stops gateway `n`, whose clients stop before. */
    void stop(std::size_t n, int signal) {
        stopped_.at(n) = true;
        std::this_thread::sleep_for(100ms);
        gateway(n).signal(signal);
    }

    /** Ends the load, and waits until all of its windows must have been reported. */
    void finish() {
        clients_.clear();
        std::this_thread::sleep_for(12s);
    }

    [[nodiscard]] std::uint64_t reported() {
        std::uint64_t out = 0;
        const auto all = usage();
        for (const auto &counts : all.at("reports")) {
            for (const auto &n : counts) {
                out += n.get<std::uint64_t>();
            }
        }
        return out;
    }

    [[nodiscard]] std::uint64_t ran() { return runs().size(); }

private:
    std::array<std::atomic<bool>, gateway_count> stopped_{};
    std::atomic<int> next_{0};
    std::vector<std::jthread> clients_;
};

} // namespace

// Guards against records in a copy of the store that are taken for those of gateways which have ended: their counts are
// left out, although the gateways live and publish again.
TEST_CASE("promise 17: the usage of live gateways is reported when the store returns from a copy") {
    fixture it;
    for (int n = 0; n < 2; ++n) {
        std::this_thread::sleep_for(2s);
        it.copy_store();
        std::this_thread::sleep_for(4s);
        it.set_store_down(true);
        std::this_thread::sleep_for(1500ms);
        it.restore_store({"key-1"});
    }
    std::this_thread::sleep_for(2s);
    it.finish();
    CHECK(it.usage().at("contradictions") == 0);
    const double ran = static_cast<double>(it.ran());
    REQUIRE(ran > 300);
    CHECK(static_cast<double>(it.reported()) >= 0.95 * ran);
    CHECK(static_cast<double>(it.reported()) <= 1.05 * ran);
}

// Guards against a second report of a window, with other counts, by a gateway that takes over after the store has lost
// the counts fixed for the first one.
TEST_CASE("promise 17: no window is reported twice with other counts when the holder changes after a return") {
    fixture it;
    std::this_thread::sleep_for(2s);
    it.copy_store();
    std::this_thread::sleep_for(4s);
    const auto first = it.holder();
    REQUIRE(first);
    // Another gateway ends without a word; the copy lacks most of its counts.
    it.stop((*first + 1) % gateway_count, SIGKILL);
    std::this_thread::sleep_for(1500ms);
    it.set_store_down(true);
    std::this_thread::sleep_for(500ms);
    it.restore_store({"key-1"});
    std::this_thread::sleep_for(1s);
    it.stop(*first, SIGTERM);
    CHECK(eventually([&] { return it.holder().has_value(); }, 15s));
    std::this_thread::sleep_for(2s);
    it.finish();
    CHECK(it.usage().at("contradictions") == 0);
}
