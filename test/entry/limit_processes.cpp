#include <atomic>
#include <thread>

#include "support/entry_site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

// Guards against entries that each apply the whole limit: two of them would run twice as many requests as allowed.
TEST_CASE("two entry processes together stay within a row's concurrency limit") {
    constexpr std::size_t limit = 6;
    constexpr int callers = 12;
    constexpr int calls_each = 3;
    auto values = test::sample_declarations();
    values.rows[{"north", "drafting"}] = {"north", "drafting", 1, limit, 1e5, 1e8, 1e8, 200};
    test::entry_site site{values, {"--tokens-per-second", "20", "--batch", "64"}};
    const nlohmann::json times{{"lease_term_ms", 1500}, {"lease_margin_ms", 200}, {"host_list_interval_ms", 100}};
    std::vector<const test::entry_site::entry_process *> entries{&site.start_entry("entry-a", "a", times),
                                                                 &site.start_entry("entry-b", "b", times)};
    REQUIRE(test::eventually([&] {
        const auto epoch = site.stored("shares/epoch");
        return epoch.is_object() && epoch.at("members").size() == 2;
    }));
    std::atomic<int> served{0};
    std::atomic<int> open{callers};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int n = 0; n < callers; ++n) {
        threads.emplace_back([&, n] {
            for (int call = 0; call < calls_each; ++call) {
                served += test::entry_site::complete(*entries[static_cast<std::size_t>(n) % 2], "dsk_north", "a b", 10)
                                      .status == 200
                              ? 1
                              : 0;
            }
            --open;
        });
    }
    std::size_t most = 0;
    while (open > 0) {
        const auto answer = site.engine.call("GET", "/v1/state");
        if (answer && answer.value().status == 200) {
            const auto state = nlohmann::json::parse(answer.value().body);
            most = std::max(most, state.at("running").get<std::size_t>() + state.at("queued").get<std::size_t>());
        }
    }
    for (auto &it : threads) {
        it.join();
    }
    MESSAGE("maximum of concurrent requests at the engine: ", most, " of ", limit);
    CHECK(served == callers * calls_each);
    CHECK(most <= limit);
    // Shows that lent amounts were used, too: the floors alone are 2 in total.
    CHECK(most > 2);
}
