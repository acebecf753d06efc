#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

#include "lease/lease_state_machine.hpp"
#include "store/memory_store.hpp"
#include "support/fake_wire.hpp"
#include "usage/usage_recorder.hpp"
#include "usage/usage_replica_buffer.hpp"
#include "usage/usage_reporter.hpp"
#include "usage/usage_sealer.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

// Records every report by window: its figures and the fence of its sender.
struct fake_platform {
    std::map<std::uint64_t, std::set<std::string>> figures;
    std::vector<std::string> reporters;
    int accepted{0};

    http::response operator()(const http::request &message) {
        const auto body = nlohmann::json::parse(message.body);
        figures[body.at("window").get<std::uint64_t>()].insert(body.at("figures").dump());
        reporters.push_back(body.at("reporter").get<std::string>());
        ++accepted;
        return {200, {}, "{}"};
    }

    [[nodiscard]] std::size_t most_versions() const {
        std::size_t out = 0;
        for (const auto &[window, versions] : figures) {
            out = std::max(out, versions.size());
        }
        return out;
    }
};

struct billing_process {
    lease::lease_state_machine lease_state;
    usage::usage_sealer sealer;
    usage::usage_reporter reporter;

    billing_process(const base::clock &clock, const std::string &name)
        : lease_state{clock, {.name = "billing", .holder = name}}, sealer{clock, {}}, reporter{clock,
                                                                                               {.reporter = name},
                                                                                               0} {}
};

struct fixture {
    base::manual_clock clock;
    base::id_source ids{9};
    store::memory_store store;
    testing::fake_wire wire;
    fake_platform platform;
    usage::usage_recorder recorder{clock, {.owner = "entry-1"}};

    fixture() {
        wire.handlers["platform"] = [this](const http::request &it) { return platform(it); };
    }

    std::unique_ptr<billing_process> start(const std::string &name) {
        return std::make_unique<billing_process>(clock, name);
    }

    usage::usage_batch count(int requests) {
        for (int n = 0; n < requests; ++n) {
            (void)recorder.record("r", "org", "drafting", 5, 6);
        }
        recorder.flush_now();
        return *recorder.next_batch();
    }

    void store_batch(const usage::usage_batch &batch) {
        (void)recorder.on_flushed(batch, usage::store_batch(store, ids, batch));
    }

    void drive(billing_process &it, base::duration time) {
        for (base::duration past{0}; past < time; past += 500ms) {
            for (int n = 0; n < 3; ++n) {
                lease::drive_lease(it.lease_state, store, ids);
            }
            for (int n = 0; n < 6; ++n) {
                usage::drive_sealer(it.sealer, store, ids, it.lease_state.authority());
                usage::drive_reporter(it.reporter, store, ids, wire, "platform", it.lease_state.authority());
            }
            clock.advance(500ms);
        }
    }

    // The naive holder sums whatever batches there are and reports the sum if it believes to be the leader.
    void report_naively(std::uint64_t window, const std::string &name) {
        std::uint64_t requests = 0;
        const auto items = store.list("usage/batch/").value();
        for (const auto &item : items) {
            requests += usage::parse_batch(item).value().records.size();
        }
        const nlohmann::json body{
            {"window", window}, {"reporter", name}, {"fence", 1}, {"figures", {{"requests", requests}}}};
        (void)wire.call("platform", {"POST", "/v1/usage_reports", {}, body.dump()}, {});
    }

    std::uint64_t billed_requests() {
        std::uint64_t out = 0;
        const auto items = store.list("usage/sealed/").value();
        for (const auto &item : items) {
            const auto sealed = usage::parse_sealed(item).value();
            for (const auto &it : sealed.figures) {
                out += it.requests;
            }
        }
        return out;
    }
};

} // namespace

// Guards against a second report of a window with the records that arrived after the first one.
TEST_CASE("promise 8: a late record and a lost answer do not change a reported window") {
    fixture naive;
    naive.wire.lose_answer_of = "platform";
    naive.store_batch(naive.count(3));
    naive.report_naively(1, "a");
    naive.store_batch(naive.count(2));
    naive.report_naively(1, "a");
    CHECK(naive.platform.most_versions() == 2);

    fixture it;
    auto a = it.start("a");
    it.store_batch(it.count(3));
    it.wire.lose_answer_of = "platform";
    it.drive(*a, 145s);
    CHECK(it.platform.accepted >= 1);
    it.store_batch(it.count(2));
    it.drive(*a, 300s);
    CHECK(it.platform.most_versions() == 1);
    CHECK(it.platform.figures.size() > 3);
    CHECK(it.platform.accepted == static_cast<int>(it.platform.figures.size()) + 1);
    CHECK(it.billed_requests() == 5);
}

// Guards against a paused billing holder that reports, beside its successor, figures of its own.
TEST_CASE("promise 8: a paused holder neither seals nor reports beside its successor") {
    fixture naive;
    naive.store_batch(naive.count(3));
    naive.wire.before_check = [&] {
        naive.store_batch(naive.count(1));
        naive.report_naively(1, "b");
    };
    naive.report_naively(1, "a");
    CHECK(naive.platform.most_versions() == 2);
    CHECK(naive.platform.reporters == std::vector<std::string>{"b", "a"});

    for (const bool before_seal : {true, false}) {
        fixture it;
        auto a = it.start("a");
        auto b = it.start("b");
        it.store_batch(it.count(3));
        bool paused = false;
        const auto pause = [&] {
            paused = true;
            it.store_batch(it.count(1));
            it.drive(*b, 200s);
            CHECK(b->lease_state.held());
        };
        if (before_seal) {
            it.store.set_write_hook([&](std::string_view key) {
                if (key == "usage/sealed/1") {
                    it.store.set_write_hook({});
                    pause();
                }
            });
        } else {
            it.wire.before_check = pause;
        }
        it.drive(*a, 145s);
        REQUIRE(paused);
        CHECK(std::ranges::count(it.platform.reporters, "a") == 0);
        it.drive(*b, 200s);
        CHECK(it.platform.most_versions() == 1);
        CHECK(it.billed_requests() == 4);
        CHECK(it.platform.accepted == static_cast<int>(it.platform.figures.size()));
    }
}

// Guards against billing twice what owner and peer have both stored.
TEST_CASE("promise 8: records stored by owner and peer are reported once") {
    const auto both = [](fixture &it) {
        const auto batch = it.count(4);
        usage::usage_replica_buffer peer{3};
        peer.hold(batch.records);
        peer.on_owner_gone("entry-1");
        it.store_batch(batch);
        while (const auto held = peer.next_batch()) {
            auto renamed = *held;
            // The peer's batches begin at other records than the owner's.
            renamed.records.erase(renamed.records.begin());
            if (!renamed.records.empty()) {
                CHECK(usage::store_batch(it.store, it.ids, renamed));
            }
            peer.on_flushed(*held, base::success());
        }
    };
    fixture naive;
    both(naive);
    naive.report_naively(1, "a");
    CHECK(naive.platform.figures.at(1).contains(R"({"requests":6})"));

    fixture it;
    auto a = it.start("a");
    both(it);
    it.drive(*a, 150s);
    CHECK(it.billed_requests() == 4);
    CHECK(it.platform.figures.at(1).size() == 1);
}
