#include "entry/config_feed.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "config/sample.hpp"
#include "store/memory_store.hpp"
#include "support/site.hpp"
#include "transport/event_loop.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** Store that records which objects are read, and loses the answers of some reads. */
struct lossy_store final : store::object_store {
    store::memory_store inner;
    std::vector<std::string> read;
    std::string lost_key;
    int losses{0}; /**< Reads of `lost_key` whose answers are still to be lost. */

    base::result<std::optional<store::object>> get(std::string_view key) override {
        read.emplace_back(key);
        if (key == lost_key && losses > 0) {
            --losses;
            return base::fail(base::error_kind::timeout, "no_answer", "lost");
        }
        return inner.get(key);
    }
    base::result<std::uint64_t> put(std::string_view key, std::string_view value, std::uint64_t expected) override {
        return inner.put(key, value, expected);
    }
    base::result<void> erase(std::string_view key, std::uint64_t expected) override {
        return inner.erase(key, expected);
    }
    base::result<std::vector<store::object>> list(std::string_view prefix) override { return inner.list(prefix); }
    base::result<store::watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                           const store::watch_limits &limits) override {
        return inner.watch(prefix, since, limits);
    }
};

/** @return A state of version 1 that needs several parts. */
config::state_ptr large_state() {
    constexpr int organisations = 8000;
    auto values = test::sample_declarations();
    for (int n = 0; n < organisations; ++n) {
        const auto name = "organisation-" + std::to_string(n);
        values.organisations[name] = {name, "One of many"};
    }
    return config::apply_change(std::make_shared<const config::config_state>(), test::make_change(1, {}, values))
        .value();
}

} // namespace

// Guards against an entry that never has a large configuration, because each lost answer costs all parts that have
// come.
TEST_CASE("a snapshot of which a part is lost is read on from there") {
    lossy_store store;
    const auto parts = config::encode_snapshot(*large_state());
    REQUIRE(parts.size() >= 3);
    for (std::size_t n = 0; n < parts.size(); ++n) {
        REQUIRE(store.put(config::snapshot_key(1, n), parts[n], store::absent));
    }
    REQUIRE(store.put(config::head_key, config::encode_head({1, 1, parts.size(), {}}), store::absent));
    store.lost_key = config::snapshot_key(1, parts.size() - 1);
    store.losses = 2;
    base::boottime_clock clock;
    transport::event_loop loop;
    transport::h2_client client{loop, clock};
    dotterelstack::entry::event_ring events{64};
    {
        dotterelstack::entry::config_feed feed{clock, store, client, events,
                                               [] { return std::vector<dotterelstack::entry::peer_entry>{}; }};
        feed.start();
        REQUIRE(test::eventually([&feed] { return feed.version() == 1; }));
    }
    CHECK(store.read.size() == parts.size() + 2);
}
