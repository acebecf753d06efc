#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <thread>

#include "process/soak_clients.hpp"
#include "process/soak_gateways.hpp"
#include "support/endless_server.hpp"
#include "support/scripted_server.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;
using steady = std::chrono::steady_clock;
using successor = test::soak_gateways::successor;

namespace {

constexpr int usual_gateways = 3;
constexpr int most_gateways = 12;
constexpr std::size_t client_count = 16;
// The rules give a withdrawn key 5 s, and a gateway that was frozen or cut off is excused for the time after.
constexpr auto withdrawal_limit = 6s;
// Of processes that are stopped and continued regularly: shorter than what makes a gateway or a runner count as gone.
constexpr int run_ms = 60;
constexpr int pause_ms = 240;
// In every second run the configuration is large, and the gateways reach the store through 10 Mbit/s.
constexpr int large_site_routes = 1400;
constexpr std::size_t slow_link = 1'250'000;
// Versions written by a change of such a configuration.
constexpr int versions_per_change = 3;
// A signal that comes before the program has been executed says nothing about it.
constexpr int execution_ms = 20;

unsigned int from_environment(const char *name, unsigned int otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : static_cast<unsigned int>(std::stoul(text));
}

/**
 * A site whose processes and network are harmed while clients use it. What must hold is checked from what clients and
 * runners have seen.
 */
class soak {
public:
    explicit soak(unsigned int seed) : random_{seed}, seed_{seed}, large_{seed % 2 == 1} {
        site_.set_idle_routes(large_ ? large_site_routes : 0);
        site_.configure({"key-1", "key-2"});
        for (const auto *id : {"engine-0", "engine-1", "engine-2"}) {
            site_.start_runner(id, "decode");
        }
        site_.start_runner("reader-0", "prefill");
        for (const auto *id : {"desk-0", "desk-1"}) {
            start_desk(id);
        }
        // One run in three has more gateways than usual.
        const int count = draw(0, 2) == 0 ? draw(usual_gateways + 1, most_gateways) : usual_gateways;
        gateways_ = std::make_unique<test::soak_gateways>(site_, static_cast<std::size_t>(count),
                                                          [this](const std::string &text) { problem(text); });
        REQUIRE(eventually([this] { return all_serve(); }));
        for (std::size_t n = 0; large_ && n < gateways_->size(); ++n) {
            site_.store_path(n).limit_rate(slow_link);
        }
    }

    void run(std::chrono::seconds length) {
        clients_ = std::make_unique<test::soak_clients>(site_, gateways_->size(), client_count, seed_);
        const auto until = steady::now() + length;
        while (steady::now() < until) {
            harm();
            pass(draw(100, 900));
        }
        heal();
        gateways_->finish();
        clients_->stop();
    }

    void check() {
        CHECK_MESSAGE(eventually([this] { return all_serve(); }), "the site does not recover: gateway ", last_failure_);
        gateways_->step();
        const auto runs = site_.runs();
        const auto &outcomes = clients_->outcomes();
        for (const auto &it : outcomes) {
            const auto found = runs.find(it.id);
            const int n = found == runs.end() ? 0 : found->second;
            const bool once = it.kind == "book" || it.kind == "query";
            CHECK_MESSAGE((!once || n <= 1), it.id, " ran ", n, " times");
            const bool promise = it.status == 429 || it.status == 503;
            CHECK_MESSAGE((!once || !promise || n == 0), it.id, " ran although ", it.status, " said it had not");
        }
        for (auto &it : clients_->unanswered()) {
            it.second.ran = runs.contains(it.first);
            const auto loss = test::judge_loss(it.second, gateways_->harms());
            CHECK_MESSAGE(!loss, it.first, " ", loss.value_or(""));
        }
        CHECK_MESSAGE(problems_.empty(), problems_);
        CHECK_MESSAGE(clients_->problems().empty(), clients_->problems());
        CHECK(site_.key_sightings() == 0);
        CHECK(site_.usage()["contradictions"] == 0);
        CHECK(std::ranges::count(outcomes, 200, &test::soak_outcome::status) > 0);
    }

    [[nodiscard]] std::string story() const { return story_; }

private:
    int draw(int low, int high) { return std::uniform_int_distribution<int>{low, high}(random_); }
    std::chrono::milliseconds draw_ms(int low, int high) { return std::chrono::milliseconds{draw(low, high)}; }

    bool all_serve() {
        for (std::size_t n = 0; n < gateways_->size(); ++n) {
            const auto id = "probe-" + std::to_string(probes_++);
            for (const auto *kind : {"draft", "read"}) {
                if (const auto it = site_.send(n, kind, id, "key-1"); it.status != 200) {
                    last_failure_ = std::to_string(n) + " " + kind + ": " + std::to_string(it.status) + " " +
                                    it.body.substr(0, 200);
                    return false;
                }
            }
        }
        return true;
    }

    /** Findings of processes are shown at once, since their logs may be long gone at the end. */
    void problem(const std::string &text) {
        MESSAGE("seed " << seed_ << ": " << text);
        problems_ += text + "\n";
    }

    /** Lets time pass, in which what is due is done. */
    void pass(int length_ms) {
        const auto until = steady::now() + std::chrono::milliseconds{length_ms};
        while (steady::now() < until) {
            gateways_->step();
            std::this_thread::sleep_for(10ms);
        }
    }

    /** Does one drawn harm; some of them last, so that harms overlap. */
    void harm() {
        const auto n = static_cast<std::size_t>(draw(0, static_cast<int>(gateways_->size()) - 1));
        const int kind = draw(0, 23);
        story_ += std::to_string(kind) + "@" + std::to_string(n) + " ";
        switch (kind) {
        case 0:
            gateways_->kill(n);
            return disturb_start(n);
        case 1:
        case 16:
            return stop(n);
        case 2:
            return gateways_->freeze(n, [this] { pass(draw(100, 1500)); });
        case 3:
            return site_.store_path(n).silence_open();
        case 4:
            return site_.store_path(n).cut();
        case 5:
            site_.store_path(n).refuse_all();
            pass(draw(100, 1500));
            return site_.store_path(n).pass_new();
        case 6:
            site_.set_store_down(true);
            pass(draw(100, 2500));
            return site_.set_store_down(false);
        case 7:
            return replace_runner();
        case 8:
            return gateways_->reload(n);
        case 9:
            return pause_gateway(n);
        case 10:
            copied_ = true;
            return site_.copy_store();
        case 11:
            return return_from_copy();
        case 12:
            for (std::size_t it = 0; it < gateways_->size(); ++it) {
                site_.store_path(it).silence_open();
            }
            return withdraw();
        case 13:
            return crash_desks(n);
        case 14:
            return write_unreadable();
        case 15:
            return add_faulty_server();
        case 17:
            stop(n);
            return stop((n + 1) % gateways_->size());
        case 18:
            return rewrite_settings(n);
        case 19:
            gateways_->kill(n);
            return gateways_->later(draw_ms(execution_ms, 400), [this, n] { stop(n); });
        case 20:
            for (int it = draw(2, 8); it > 0; --it) {
                gateways_->later(draw_ms(0, 500), [this, n] { gateways_->reload(n); });
            }
            return;
        case 21:
            return pause_runner();
        default:
            return withdraw();
        }
    }

    /** Stops and continues a gateway again and again. */
    void pause_gateway(std::size_t n) {
        for (int it = draw(3, 8); it > 0; --it) {
            gateways_->freeze(n, [this] { pass(pause_ms); });
            pass(run_ms);
        }
    }

    /** Does so with a runner, while other harms go on. */
    void pause_runner() {
        const auto all = site_.runners();
        const auto &id = all.at(static_cast<std::size_t>(draw(0, static_cast<int>(all.size()) - 1)));
        const auto signal = [this, id](int number) {
            if (std::ranges::count(site_.runners(), id) > 0 && !site_.runner(id).wait(0ms)) {
                site_.runner(id).signal(number);
            }
        };
        for (int it = draw(3, 8); it > 0; --it) {
            const std::chrono::milliseconds begin{it * (run_ms + pause_ms)};
            gateways_->later(begin, [signal] { signal(SIGSTOP); });
            gateways_->later(begin + std::chrono::milliseconds{pause_ms}, [signal] { signal(SIGCONT); });
        }
    }

    /** Sends SIGTERM, and perhaps SIGHUP into the stop. The successor may come before its predecessor has ended. */
    void stop(std::size_t n) {
        const auto next = draw(0, 9) == 0 ? successor::last : static_cast<successor>(draw(0, 1));
        gateways_->stop(n, next, draw(0, 1) == 0 ? 0ms : draw_ms(0, 4000));
        if (draw(0, 2) == 0) {
            gateways_->later(draw_ms(0, 4000), [this, n] { gateways_->reload(n); });
        }
        disturb_start(n);
    }

    /** Sends SIGHUP soon after a start, in one of three. */
    void disturb_start(std::size_t n) {
        if (draw(0, 2) == 0) {
            gateways_->later(draw_ms(execution_ms, 800), [this, n] { gateways_->reload(n); });
        }
    }

    /** Rewrites the settings of a gateway at a SIGHUP, at first only a part of them. */
    void rewrite_settings(std::size_t n) {
        // A half-written file at a start would be the operator's fault.
        if (!gateways_->listens(n)) {
            return;
        }
        site_.write_settings(n, draw(0, 100) / 100.0);
        gateways_->reload(n);
        pass(draw(0, 300));
        site_.write_settings(n);
        gateways_->reload(n);
    }

    /** Lets the store come back from the last copy; the operator repeats what it has written since. */
    void return_from_copy() {
        if (!copied_) {
            return;
        }
        site_.set_store_down(true);
        pass(draw(100, 2500));
        site_.restore_store(withdrawn_ ? std::vector<std::string>{"key-1"}
                                       : std::vector<std::string>{"key-1", "key-2"});
    }

    /** Another writer adds an entry that cannot be read, or overwrites that of a runner. */
    void write_unreadable() {
        static const std::array<std::string, 6> texts{
            R"({"Slots":1e999})", "{Service: desk", "{\"Zone\":\"\x01\"}", std::string(100'000, '['), "]}", "null"};
        const auto runners = site_.runners();
        const auto name = draw(0, 2) == 0 ? runners.at(static_cast<std::size_t>(draw(0, 2))) : "printer-7";
        site_.write_foreign("servers/" + name, texts.at(static_cast<std::size_t>(draw(0, 5))));
    }

    /** Adds a desk that answers each request with bytes without end or, in turn, one whose answers are broken. */
    void add_faulty_server() {
        const auto n = endless_.size() + broken_.size() + 1;
        std::string address;
        if (n % 2 == 1) {
            endless_.push_back(
                std::make_unique<test::endless_server>("HTTP/1.1 500 Broken\r\n\r\n", std::string(65536, 'x')));
            address = endless_.back()->address();
        } else {
            broken_.push_back(std::make_unique<test::scripted_server>(&broken_answer));
            address = broken_.back()->address();
        }
        site_.write_foreign("servers/faulty-" + std::to_string(n), test::desk_entry(address, 1).dump());
    }

    /** @return An answer that is never whole, of another kind for each request on a connection and each connection. */
    static test::scripted_answer broken_answer(int connection, int request, const std::string &text) {
        using then = test::scripted_answer::then;
        const auto at = text.find("Attempt-Id: ");
        const auto id = at == std::string::npos ? "" : text.substr(at, text.find('\n', at) + 1 - at);
        const auto head = "HTTP/1.1 200 OK\r\nResponse-Signature: broken\r\n" + id;
        switch ((connection + request) % 5) {
        case 0:
            return {head + "\r\nhello", then::reset};
        case 1:
            return {head + "Bad Name: x\r\nContent-Length: 5\r\n\r\nhello"};
        case 2:
            return {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nBad Name: x\r\n\r\n"};
        case 3:
            return {"HTTP/1.1 000 OK\r\n" + id + "Content-Length: 5\r\n\r\nhello"};
        default:
            return {head + "Transfer-Encoding: gzip\r\n\r\nhello", then::close};
        }
    }

    void start_desk(const std::string &id) { site_.start_runner(id, "", {"--crash-target", "/read/bad/1"}); }

    /** Sends a request that ends the desks that run it, and starts them again. */
    void crash_desks(std::size_t gateway) {
        const auto from = steady::now();
        (void)site_.send(gateway, "read/bad", "bad-" + std::to_string(probes_++), "key-1");
        gateways_->note_runners(from);
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
        const auto from = steady::now();
        site_.kill_runner(id);
        gateways_->note_runners(from);
        if (desk) {
            start_desk(next);
        } else {
            site_.start_runner(next, stage);
        }
    }

    void withdraw() {
        for (int n = 0; n < (large_ ? versions_per_change : 1); ++n) {
            site_.configure({"key-1"});
        }
        withdrawn_ = true;
        clients_->expect_withdrawal(steady::now() + withdrawal_limit);
    }

    void heal() {
        site_.set_store_down(false);
        for (std::size_t n = 0; n < gateways_->size(); ++n) {
            site_.store_path(n).release();
        }
    }

    std::mt19937 random_;
    const unsigned int seed_;
    const bool large_; /**< The configuration is large, and the links to the store are slow. */
    std::vector<std::unique_ptr<test::endless_server>> endless_;
    std::vector<std::unique_ptr<test::scripted_server>> broken_;
    test::forward_site site_;
    std::unique_ptr<test::soak_gateways> gateways_;
    std::unique_ptr<test::soak_clients> clients_;
    std::string problems_;
    std::string story_;
    std::string last_failure_; /**< Of the latest probe that was not served: gateway, route, status and answer. */
    int probes_{0};
    int next_runner_{10};
    bool copied_{false};
    bool withdrawn_{false};
};

} // namespace

// Guards the promises to callers against processes that die, freeze and restart and a store that comes and goes, or
// comes back from a copy, in drawn series that overlap; and against gateways that end by themselves or lose requests.
// SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS play other and longer series.
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
