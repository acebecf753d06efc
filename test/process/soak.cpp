#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "support/endless_server.hpp"
#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t gateway_count = 3;
constexpr int client_count = 6;
constexpr int events_of_stream = 8;
// The rules give a withdrawn key 5 s, and a gateway that was frozen or cut off is excused for the time after.
constexpr auto withdrawal_limit = 6s;

/** Answer to one request, as its client saw it. */
struct outcome {
    std::string id;
    std::string kind;
    int status{0};
};

/**
 * A site whose processes and network are harmed while clients use it. What must hold is checked from what clients and
 * runners have seen.
 */
class soak {
public:
    explicit soak(unsigned int seed) : random_{seed} {
        site_.configure({"key-1", "key-2"});
        for (const auto *id : {"engine-0", "engine-1", "engine-2"}) {
            site_.start_runner(id, "decode");
        }
        site_.start_runner("reader-0", "prefill");
        for (const auto *id : {"desk-0", "desk-1"}) {
            start_desk(id);
        }
        for (std::size_t n = 0; n < gateway_count; ++n) {
            site_.start_gateway(n);
        }
        REQUIRE(eventually([this] { return all_serve(); }));
    }

    void run(std::chrono::seconds length) {
        std::vector<std::jthread> clients;
        clients.reserve(client_count);
        for (int n = 0; n < client_count; ++n) {
            clients.emplace_back([this, n](const std::stop_token &stop) { use(n, stop); });
        }
        const auto until = steady::now() + length;
        while (steady::now() < until) {
            harm();
            std::this_thread::sleep_for(std::chrono::milliseconds{draw(100, 900)});
        }
        heal();
        clients.clear();
    }

    void check() {
        CHECK_MESSAGE(eventually([this] { return all_serve(); }), "the site does not recover");
        const auto runs = site_.runs();
        const std::scoped_lock lock{mutex_};
        for (const auto &it : outcomes_) {
            const auto found = runs.find(it.id);
            const int n = found == runs.end() ? 0 : found->second;
            const bool once = it.kind == "book" || it.kind == "query";
            CHECK_MESSAGE((!once || n <= 1), it.id, " ran ", n, " times");
            const bool promise = it.status == 429 || it.status == 503;
            CHECK_MESSAGE((!once || !promise || n == 0), it.id, " ran although ", it.status, " said it had not");
        }
        CHECK_MESSAGE(problems_.empty(), problems_);
        CHECK(site_.key_sightings() == 0);
        CHECK(site_.usage()["contradictions"] == 0);
        CHECK(std::ranges::count(outcomes_, 200, &outcome::status) > 0);
    }

    [[nodiscard]] std::string story() const { return story_; }

private:
    int draw(int low, int high) { return std::uniform_int_distribution<int>{low, high}(random_); }

    bool all_serve() {
        for (std::size_t n = 0; n < gateway_count; ++n) {
            const auto id = "probe-" + std::to_string(probes_++);
            if (site_.send(n, "draft", id, "key-1").status != 200 || site_.send(n, "read", id, "key-1").status != 200) {
                return false;
            }
        }
        return true;
    }

    void problem(const std::string &text) {
        const std::scoped_lock lock{mutex_};
        problems_ += text + "\n";
    }

    /** One client: one request after the other at gateways in turn. */
    void use(int client, const std::stop_token &stop) {
        std::mt19937 own{static_cast<unsigned int>(client)};
        constexpr std::array kinds{"draft", "query", "book", "read"};
        for (int n = 0; !stop.stop_requested(); ++n) {
            const std::string kind = kinds.at(own() % kinds.size());
            const auto id = kind + std::to_string(client) + "-" + std::to_string(n);
            http::field_list more{{"Test-Events", std::to_string(events_of_stream)}};
            if (own() % 8 == 0) {
                more.push_back({"Test-Lose", "desk-1"});
                more.push_back({"Test-Break", "3"});
            }
            const bool withdrawn = own() % 6 == 0;
            const auto sent = steady::now();
            const auto answer =
                site_.send(own() % gateway_count, kind, id, withdrawn ? "key-2" : "key-1", std::move(more));
            if (answer.status == 200) {
                check_answer(kind, id, answer);
                const auto since = withdrawn_at_.load();
                if (withdrawn && since != 0 && sent.time_since_epoch().count() > since) {
                    problem(id + " was served with a withdrawn key");
                }
            }
            const std::scoped_lock lock{mutex_};
            outcomes_.push_back({id, kind, answer.status});
        }
    }

    void check_answer(const std::string &kind, const std::string &id, const test::forward_reply &answer) {
        const bool stream = kind == "draft" || kind == "query";
        const bool whole = stream ? answer.body == test::whole_stream(id, events_of_stream)
                                  : answer.body.find("\"" + id + "\"") != std::string::npos;
        if (!whole || answer.field("Response-Signature").empty()) {
            problem(id + " got a success that is not the runner's whole answer: " + answer.body);
        }
    }

    /** Does one drawn harm; some of them last, so that harms overlap. */
    void harm() {
        const auto n = static_cast<std::size_t>(draw(0, static_cast<int>(gateway_count) - 1));
        const int kind = draw(0, 15);
        story_ += std::to_string(kind) + "@" + std::to_string(n) + " ";
        switch (kind) {
        case 0:
            site_.gateway(n).signal(SIGKILL);
            (void)site_.gateway(n).wait();
            return site_.start_gateway(n);
        case 1:
            site_.gateway(n).signal(SIGTERM);
            if (!site_.gateway(n).wait(9s)) {
                problem("a stopped gateway was still there after its grace");
            }
            return site_.start_gateway(n);
        case 2:
            site_.gateway(n).signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds{draw(100, 1500)});
            return site_.gateway(n).signal(SIGCONT);
        case 3:
            return site_.store_path(n).silence_open();
        case 4:
            return site_.store_path(n).cut();
        case 5:
            site_.store_path(n).refuse_all();
            std::this_thread::sleep_for(std::chrono::milliseconds{draw(100, 1500)});
            return site_.store_path(n).pass_new();
        case 6:
            site_.set_store_down(true);
            std::this_thread::sleep_for(std::chrono::milliseconds{draw(100, 2500)});
            return site_.set_store_down(false);
        case 7:
            return replace_runner();
        case 8:
            site_.gateway(n).signal(SIGHUP);
            return;
        case 10:
            copied_ = true;
            return site_.copy_store();
        case 11:
            return return_from_copy();
        case 12:
            for (std::size_t it = 0; it < gateway_count; ++it) {
                site_.store_path(it).silence_open();
            }
            return withdraw();
        case 13:
            return crash_desks(n);
        case 14:
            return write_unreadable();
        case 15:
            return add_endless_server();
        default:
            return withdraw();
        }
    }

    /** Lets the store come back from the last copy; the operator repeats what it has written since. */
    void return_from_copy() {
        if (!copied_) {
            return;
        }
        site_.set_store_down(true);
        std::this_thread::sleep_for(std::chrono::milliseconds{draw(100, 2500)});
        site_.restore_store(withdrawn_at_ == 0 ? std::vector<std::string>{"key-1", "key-2"}
                                               : std::vector<std::string>{"key-1"});
    }

    /** Another writer adds an entry that cannot be read, or overwrites that of a runner. */
    void write_unreadable() {
        static const std::array<std::string, 6> texts{
            R"({"Slots":1e999})", "{Service: desk", "{\"Zone\":\"\x01\"}", std::string(100'000, '['), "]}", "null"};
        const auto runners = site_.runners();
        const auto name = draw(0, 2) == 0 ? runners.at(static_cast<std::size_t>(draw(0, 2))) : "printer-7";
        site_.write_foreign("servers/" + name, texts.at(static_cast<std::size_t>(draw(0, 5))));
    }

    /** Adds a desk that answers each request with bytes without end. */
    void add_endless_server() {
        endless_.push_back(
            std::make_unique<test::endless_server>("HTTP/1.1 500 Broken\r\n\r\n", std::string(65536, 'x')));
        const nlohmann::json entry{{"Service", "desk"},    {"Address", endless_.back()->address()},
                                   {"Zone", "east"},       {"Version", "v1"},
                                   {"Slots", 6},           {"State", "ready"},
                                   {"ColdRemainingMs", 0}, {"Sequence", 1}};
        site_.write_foreign("servers/endless-" + std::to_string(endless_.size()), entry.dump());
    }

    void start_desk(const std::string &id) { site_.start_runner(id, "", {"--crash-target", "/read/bad/1"}); }

    /** Sends a request that ends the desks that run it, and starts them again. */
    void crash_desks(std::size_t gateway) {
        (void)site_.send(gateway, "read/bad", "bad-" + std::to_string(probes_++), "key-1");
        for (const auto &id : site_.drop_ended_runners()) {
            (void)id;
            start_desk("desk-" + std::to_string(next_runner_++));
        }
    }

    void replace_runner() {
        const auto all = site_.runners();
        const auto &id = all.at(static_cast<std::size_t>(draw(0, static_cast<int>(all.size()) - 1)));
        const auto next = id.substr(0, id.find('-')) + "-" + std::to_string(next_runner_++);
        const bool desk = id.starts_with("desk");
        const std::string stage = id.starts_with("engine") ? "decode" : "prefill";
        site_.kill_runner(id);
        if (desk) {
            start_desk(next);
        } else {
            site_.start_runner(next, stage);
        }
    }

    void withdraw() {
        site_.configure({"key-1"});
        if (withdrawn_at_ == 0) {
            withdrawn_at_ = (steady::now() + withdrawal_limit).time_since_epoch().count();
        }
    }

    void heal() {
        site_.set_store_down(false);
        for (std::size_t n = 0; n < gateway_count; ++n) {
            site_.store_path(n).release();
        }
    }

    std::mt19937 random_;
    std::vector<std::unique_ptr<test::endless_server>> endless_;
    test::forward_site site_;
    std::mutex mutex_;
    std::vector<outcome> outcomes_;
    std::string problems_;
    std::string story_;
    std::atomic<steady::rep> withdrawn_at_{0};
    int probes_{0};
    int next_runner_{10};
    bool copied_{false};
};

unsigned int from_environment(const char *name, unsigned int otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : static_cast<unsigned int>(std::stoul(text));
}

} // namespace

// Guards the promises to callers against processes that die, freeze and restart and a store that comes and goes, or
// comes back from a copy, in drawn series that overlap. SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS play other and longer
// series.
TEST_CASE("what callers are promised holds while processes and connections fail") {
    const auto first = from_environment("SOAK_SEED", 1);
    const auto count = from_environment("SOAK_SEEDS", 1);
    const std::chrono::seconds length{from_environment("SOAK_SECONDS", 8)};
    for (unsigned int seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        soak it{seed};
        it.run(length);
        const auto story = it.story();
        CAPTURE(story);
        it.check();
        MESSAGE("seed " << seed << ": " << story);
    }
}
