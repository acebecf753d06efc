#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <random>

#include "gateway/member_task.hpp"
#include "gateway/usage_window_reporter.hpp"
#include "lease/lease_state_machine.hpp"
#include "support/returning_store.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 250ms;
constexpr std::uint64_t window_ms = 5000;

/** The platform's side of usage reports, which compares repetitions and checks fences. */
struct usage_platform final : gateway::usage_report_port {
    std::map<std::uint64_t, gateway::start_counts> accepted;
    std::uint64_t highest_fence{0};
    int contradictions{0};

    base::result<void> report_usage(std::uint64_t window, const gateway::start_counts &counts,
                                    std::uint64_t fence) override {
        if (fence < highest_fence) {
            return base::fail(base::error_kind::refused, "fence_outdated", "a newer holder has reported");
        }
        highest_fence = fence;
        const auto [it, is_new] = accepted.emplace(window, counts);
        contradictions += !is_new && it->second != counts ? 1 : 0;
        return base::success();
    }
};

struct site;

/** One gateway's part in the usage reports, stepped by hand. */
struct usage_gateway {
    usage_gateway(site &of, const std::string &incarnation, const std::string &address);

    void act();

    site &all;
    const std::string address;
    gateway::windowed_start_counter starts;
    gateway::member_directory members;
    gateway::member_task member;
    lease::lease_state_machine holder;
    gateway::usage_window_reporter reporter;
    bool reaches_store{true};
    base::instant publish_due{};
    base::instant list_due{};
};

/** Gateways, the store and the platform on one clock. */
struct site {
    base::manual_clock clock;
    test::returning_store store;
    base::id_source ids{7};
    usage_platform platform;
    std::vector<std::unique_ptr<usage_gateway>> gateways;
    std::map<std::uint64_t, std::uint64_t> truth; /**< Starts by window, of all gateways that ever were. */
    bool store_down{false};
    int started{0};

    explicit site(std::size_t n) {
        clock.advance(100h);
        for (std::size_t it = 0; it < n; ++it) {
            add("10.0.0." + std::to_string(it) + ":7");
        }
    }

    [[nodiscard]] std::uint64_t now_ms() const {
        return static_cast<std::uint64_t>(base::to_milliseconds(clock.now().time_since_epoch()));
    }

    void add(const std::string &address) {
        gateways.push_back(std::make_unique<usage_gateway>(*this, "i" + std::to_string(100 + started++), address));
    }

    void run(base::duration time) {
        for (base::duration it{0}; it < time; it += step) {
            clock.advance(step);
            for (auto &gateway : gateways) {
                gateway->starts.on_start("sangh");
                ++truth[now_ms() / window_ms];
                store.inner.set_faults({.outage = store_down || !gateway->reaches_store});
                gateway->act();
            }
            store.inner.set_faults({});
        }
    }

    void go_down_and_return(base::duration away) {
        store_down = true;
        run(away);
        store.restore_copy();
        store_down = false;
    }

    [[nodiscard]] usage_gateway *holder() {
        const auto it = std::ranges::find_if(gateways, [](const auto &one) { return one->holder.held(); });
        return it == gateways.end() ? nullptr : it->get();
    }

    /** @return Starts that a report holds. */
    [[nodiscard]] std::uint64_t reported(std::uint64_t window) const {
        const auto it = platform.accepted.find(window);
        return it == platform.accepted.end() || !it->second.contains("sangh") ? 0 : it->second.at("sangh");
    }
};

usage_gateway::usage_gateway(site &of, const std::string &incarnation, const std::string &at)
    : all{of}, address{at}, starts{[&of] { return of.now_ms(); }, 5s, 6}, members{of.clock},
      member{{.name = incarnation, .incarnation = incarnation, .peer_address = at},
             {of.clock, of.store, of.ids, starts, members, [](const auto &) {}}},
      holder{of.clock,
             {.name = "usage", .holder = incarnation, .term = 3s, .renew_every = 900ms, .standby_read_every = 1s}},
      reporter{{},
               {of.clock, [&of] { return of.now_ms(); }, of.store, of.ids, of.platform, members,
                [&of](std::string_view asked) -> std::optional<gateway::member_record> {
                    const auto it = std::ranges::find(of.gateways, asked, [](const auto &one) { return one->address; });
                    return it == of.gateways.end() ? std::nullopt : std::optional{(*it)->member.record()};
                }}} {}

void usage_gateway::act() {
    const auto now = all.clock.now();
    if (now >= publish_due) {
        publish_due = now + (member.publish() ? 2500ms : 500ms);
    }
    if (now >= list_due) {
        member.refresh_members();
        list_due = now + 10s;
    }
    for (int n = 0; n < 5 && (holder.held() || member.may_hold_leases()); ++n) {
        if (lease::drive_lease(holder, all.store, all.ids).step == lease::lease_step::wait) {
            break;
        }
    }
    if (const auto authority = holder.authority()) {
        reporter.work(*authority);
    } else if (member.may_hold_leases()) {
        reporter.stand_by();
    }
}

} // namespace

// Guards against windows that are sealed from the records of a copy, and against windows left out without need.
TEST_CASE("usage is whole over several returns of the store while all gateways live") {
    site it{3};
    it.run(20s);
    const auto first = it.now_ms() / window_ms;
    for (int n = 0; n < 4; ++n) {
        it.store.take_copy();
        it.run(9s);
        it.go_down_and_return(2s);
        it.run(4s);
    }
    const auto last = it.now_ms() / window_ms;
    it.run(15s);
    CHECK(it.platform.contradictions == 0);
    for (auto window = first; window < last; ++window) {
        CAPTURE(window - first);
        CHECK(it.reported(window) == it.truth.at(window));
    }
}

// Guards against a second report with other counts: a gateway counted after the first report was fixed, the store has
// lost its seal, and another gateway takes over.
TEST_CASE("a holder that takes over after a return repeats what was reported") {
    site it{3};
    it.run(18s);
    it.store.take_copy();
    it.run(9s);
    const auto *former = it.holder();
    REQUIRE(former != nullptr);
    bool killed = false;
    SUBCASE("the former holder lives on for a moment") {
        it.go_down_and_return(2s);
        it.run(1s);
    }
    SUBCASE("the former holder ends with the store") {
        killed = true;
    }
    std::erase_if(it.gateways, [former](const auto &one) { return one.get() == former; });
    if (killed) {
        it.go_down_and_return(2s);
    }
    // Records that the holder did not have when it sealed: a late count of another gateway, in windows that are over.
    it.run(40s);
    CHECK(it.platform.contradictions == 0);
    CHECK(it.holder() != nullptr);
    CHECK(it.platform.accepted.contains(it.now_ms() / window_ms - 3));
}

// Guards against a process that knows nothing of earlier reports: it must not make up counts for them.
TEST_CASE("a holder that has just started leaves out windows whose seals may be lost") {
    site it{1};
    it.run(18s);
    it.store.take_copy();
    it.run(11s);
    const auto reported = it.platform.accepted;
    it.gateways.clear();
    it.store_down = true;
    it.clock.advance(1s);
    it.store.restore_copy();
    it.store_down = false;
    it.add("10.0.0.9:7");
    const auto before = it.now_ms() / window_ms;
    it.run(30s);
    CHECK(it.platform.contradictions == 0);
    CHECK(it.platform.accepted.contains(before + 1));
    CHECK(it.platform.accepted.size() > reported.size());
}

// Guards against any series of copies, returns, cuts, ends and starts of gateways that makes a second report with other
// counts, or a report without those of a gateway that lives.
TEST_CASE("no series of returns and ends of gateways contradicts an earlier report") {
    for (unsigned int seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        const auto draw = [&random](int low, int high) { return std::uniform_int_distribution{low, high}(random); };
        site it{4};
        // Lives through the whole series, so its counts belong into every report.
        const auto *steady = it.gateways.front().get();
        it.run(20s);
        it.store.take_copy();
        for (int n = 0; n < 10; ++n) {
            if (draw(0, 1) == 0) {
                it.store.take_copy();
            }
            it.run(std::chrono::milliseconds{draw(500, 9000)});
            const auto victim = static_cast<std::size_t>(draw(1, static_cast<int>(it.gateways.size()) - 1));
            const auto address = it.gateways[victim]->address;
            if (draw(0, 2) == 0) {
                it.gateways.erase(it.gateways.begin() + static_cast<std::ptrdiff_t>(victim));
                it.run(std::chrono::milliseconds{draw(0, 3000)});
                it.add(address);
            } else if (draw(0, 2) == 0) {
                it.gateways[victim]->reaches_store = !it.gateways[victim]->reaches_store;
            }
            if (draw(0, 1) == 0) {
                it.go_down_and_return(std::chrono::milliseconds{draw(250, 3000)});
            }
        }
        for (auto &one : it.gateways) {
            one->reaches_store = true;
        }
        it.run(30s);
        CHECK(it.platform.contradictions == 0);
        const auto own = steady->starts.counts();
        for (const auto &[window, counts] : own) {
            if (it.platform.accepted.contains(window)) {
                CHECK(it.reported(window) >= counts.at("sangh"));
                CHECK(it.reported(window) <= it.truth.at(window));
            }
        }
    }
}
