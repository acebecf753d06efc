// Promise 8 with real processes: what was answered is reported once, also when the entry that answered is killed.
#include <csignal>
#include <set>

#include "support/entry_site.hpp"
#include "usage/sealed_window.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

struct totals {
    std::uint64_t requests{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};

    bool operator==(const totals &) const = default;
};

/** Sends requests and adds up what the callers were told. */
void serve(totals &out, const test::entry_site::entry_process &entry, const std::string &key, int count) {
    for (int n = 0; n < count; ++n) {
        const auto answer = test::entry_site::complete(entry, key, "one two three", 2 + n % 3);
        REQUIRE_MESSAGE(answer.status == 200, answer.body);
        const auto usage = nlohmann::json::parse(answer.body).at("usage");
        ++out.requests;
        out.prompt_tokens += usage.at("prompt_tokens").get<std::uint64_t>();
        out.generated_tokens += usage.at("completion_tokens").get<std::uint64_t>();
    }
}

/** Sum over the reported windows; a repeated report counts once. */
totals reported(test::entry_site &site) {
    totals out;
    std::set<std::uint64_t> windows;
    const auto body = site.platform.get("/v1/usage_reports");
    for (const auto &report : body.at("reports")) {
        CHECK_FALSE(report.at("differs").get<bool>());
        if (windows.insert(report.at("window").get<std::uint64_t>()).second) {
            for (const auto &it : report.at("figures")) {
                out.requests += it.at("requests").get<std::uint64_t>();
                out.prompt_tokens += it.at("prompt_tokens").get<std::uint64_t>();
                out.generated_tokens += it.at("generated_tokens").get<std::uint64_t>();
            }
        }
    }
    return out;
}

std::size_t reported_windows(test::entry_site &site) {
    return site.platform.get("/v1/usage_reports").at("reports").size();
}

nlohmann::json short_times(int flush_ms) {
    return {{"usage_window_ms", 700},     {"usage_flush_interval_ms", flush_ms}, {"lease_term_ms", 1500},
            {"lease_margin_ms", 200},     {"heartbeat_interval_ms", 100},        {"host_list_interval_ms", 100},
            {"isolation_limit_ms", 60000}};
}

config::declarations wide_limits() {
    auto out = test::sample_declarations();
    for (auto &[name, row] : out.rows) {
        row.concurrency = 100;
        row.requests_per_second = 10000;
        row.prompt_tokens_per_second = name.second == "drafting" ? 1e7 : 0;
        row.generated_tokens_per_second = name.second == "drafting" ? 1e6 : 0;
    }
    return out;
}

} // namespace

// Guards against the loss of usage that was answered and not yet flushed, and against its double count.
TEST_CASE("promise 8: an entry killed before its flush is billed through its peer") {
    test::entry_site site{wide_limits(), {"--tokens-per-second", "2000"}};
    totals answered;
    auto &keeper = site.start_entry("entry-b", "b", short_times(200));
    REQUIRE(test::eventually([&] { return !site.stored("usage/open").is_null(); }));
    // Flushes once an hour, so that nothing of this entry reaches the store by itself.
    auto &victim = site.start_entry("entry-a", "a", short_times(3600000));
    for (const auto *entry : {&keeper, &victim}) {
        REQUIRE(test::eventually([&] {
            const bool served = test::entry_site::complete(*entry, "dsk_north", "one", 1).status == 200;
            if (served) {
                answered.requests += 1;
                answered.prompt_tokens += 1;
                answered.generated_tokens += 1;
            }
            return served;
        }));
    }
    serve(answered, keeper, "dsk_north", 10);
    serve(answered, victim, "dsk_north", 20);
    serve(answered, victim, "dsk_south", 15);
    victim.process->signal(SIGKILL);
    REQUIRE(victim.process->wait() == -SIGKILL);
    const auto killed = std::chrono::steady_clock::now();
    site.list_host("entry-a", "entry", victim.peers, "a", "gone");
    serve(answered, keeper, "dsk_south", 5);

    CHECK(test::eventually([&] { return reported(site).requests >= answered.requests; }));
    MESSAGE("reported ",
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - killed).count(),
            " ms after the kill");
    // Further windows must add nothing.
    const auto windows = reported_windows(site);
    CHECK(test::eventually([&] { return reported_windows(site) >= windows + 3; }));
    const auto sum = reported(site);
    CHECK(sum.requests == answered.requests);
    CHECK(sum.prompt_tokens == answered.prompt_tokens);
    CHECK(sum.generated_tokens == answered.generated_tokens);
}

// Guards against a successor that reports a window of the killed billing holder with other figures, or leaves one out.
TEST_CASE("promise 8: the successor of a killed billing holder reports the same windows") {
    test::entry_site site{wide_limits(), {"--tokens-per-second", "2000"}};
    totals answered;
    auto &first = site.start_entry("entry-a", "a", short_times(200));
    REQUIRE(test::eventually([&] { return !site.stored("usage/open").is_null(); }));
    auto &second = site.start_entry("entry-b", "b", short_times(200));
    for (const auto *entry : {&first, &second}) {
        REQUIRE(test::eventually([&] {
            const bool served = test::entry_site::complete(*entry, "dsk_north", "one", 1).status == 200;
            if (served) {
                answered.requests += 1;
                answered.prompt_tokens += 1;
                answered.generated_tokens += 1;
            }
            return served;
        }));
    }
    REQUIRE(test::eventually([&] { return reported_windows(site) >= 2; }));
    serve(answered, first, "dsk_north", 15);
    serve(answered, second, "dsk_south", 15);
    first.process->signal(SIGKILL);
    REQUIRE(first.process->wait() == -SIGKILL);
    site.list_host("entry-a", "entry", first.peers, "a", "gone");
    CHECK(test::eventually([&] { return reported(site).requests >= answered.requests; }));
    const auto windows = reported_windows(site);
    CHECK(test::eventually([&] { return reported_windows(site) >= windows + 3; }));
    CHECK(reported(site) == answered);
}

// Guards against a graceful stop that leaves answered requests out of the store.
TEST_CASE("promise 8: a graceful stop flushes what was answered") {
    test::entry_site site{wide_limits(), {"--tokens-per-second", "2000"}};
    auto &only = site.start_entry("entry-a", "a", short_times(3600000));
    totals answered;
    REQUIRE(test::entry_site::serves(only, "dsk_north"));
    answered = {1, 1, 1};
    serve(answered, only, "dsk_north", 7);
    only.process->signal(SIGTERM);
    REQUIRE(only.process->wait(60s) == 0);
    std::size_t records = 0;
    const auto items = site.objects.list(usage::batch_prefix);
    REQUIRE(items);
    for (const auto &item : items.value()) {
        records += usage::parse_batch(item).value().records.size();
    }
    CHECK(records == answered.requests);
}
