#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

#include "support/endless_server.hpp"
#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::eventually;

namespace {

/** Two gateways before two decode engines, one prefill engine and two desks. */
struct fixture : test::forward_site {
    fixture() {
        configure({"key-1"});
        for (const auto *id : {"engine-1", "engine-2"}) {
            start_runner(id, "decode");
        }
        start_runner("reader-1", "prefill");
        for (const auto *id : {"desk-1", "desk-2"}) {
            start_runner(id, "");
        }
        start_gateway(0);
        start_gateway(1);
        REQUIRE(eventually([this] { return serves(0) && serves(1); }));
    }

    bool serves(std::size_t n) {
        const auto id = "probe-" + std::to_string(probes_++);
        return send(n, "draft", id).status == 200 && send(n, "read", id).status == 200;
    }

private:
    int probes_{0};
};

} // namespace

// Guards against any part of the path that works in its own test only.
TEST_CASE("requests of all four kinds are served by separate processes") {
    fixture it;
    const auto draft = it.send(0, "draft", "d1");
    CHECK(draft.status == 200);
    CHECK(draft.body == test::whole_stream("d1", 5));
    CHECK_FALSE(draft.field("Response-Signature").empty());
    CHECK(it.send(1, "query", "q1").body == test::whole_stream("q1", 5));
    const auto booking = it.send(0, "book", "b1");
    CHECK(booking.status == 200);
    CHECK(nlohmann::json::parse(booking.body)["request"] == "b1");
    CHECK(it.send(1, "read", "r1").status == 200);
    CHECK(it.send(0, "none", "n1").status == 404);
    CHECK(it.send(0, "book", "n2", "key-none").status == 401);
    const auto runs = it.runs();
    CHECK(runs.at("b1") == 1);
    CHECK_FALSE(runs.contains("n2"));
    CHECK(it.key_sightings() == 0);
    CHECK(eventually([&it] { return it.usage()["reports"].size() >= 2; }));
    CHECK(it.usage()["contradictions"] == 0);
}

// Guards against doubled bookings and joined streams when answers are lost midway.
TEST_CASE("lost answers double no booking and break no resumable stream") {
    fixture it;
    CHECK(it.send(0, "book", "b1", "key-1", {{"Test-Lose", "desk-1,desk-2"}}).status == 502);
    // The gateway prefers the desk that has failed less, so the desks lose answers in turn.
    bool repeated = false;
    for (int n = 0; n < 40 && !repeated; ++n) {
        const auto id = "r" + std::to_string(n);
        CHECK(it.send(0, "read", id, "key-1", {{"Test-Lose", n % 2 == 0 ? "desk-1" : "desk-2"}}).status == 200);
        repeated = it.runs().at(id) == 2;
    }
    CHECK(repeated);
    const auto stream = it.send(0, "draft", "d1", "key-1", {{"Test-Break", "2"}});
    CHECK(stream.status == 200);
    CHECK(stream.body == test::whole_stream("d1", 5));
    CHECK(it.send(0, "query", "q1", "key-1", {{"Test-Break", "2"}}).status == 0);
    const auto runs = it.runs();
    CHECK(runs.at("b1") == 1);
    CHECK(runs.at("d1") == 2);
    CHECK(runs.at("q1") == 1);
}

// Guards against keys that go on working at a gateway which cannot reach the store.
TEST_CASE("a withdrawn key stops working also where the store is out of reach") {
    fixture it;
    // The gateways learn each other's addresses when they read the records again.
    std::this_thread::sleep_for(11s);
    it.store_path(0).silence_all();
    it.configure({"key-2"});
    CHECK(eventually([&it] { return it.send(1, "read", "r1").status == 401; }, 4s));
    CHECK(eventually([&it] { return it.send(0, "read", "r1").status == 401; }, 6s));
    CHECK(it.send(0, "read", "r2", "key-2").status == 200);
    CHECK(it.ready(0));
}

// Guards against refusing everything because the store is away.
TEST_CASE("gateways serve on through an outage of the store, and entries that lapsed in it are no loss") {
    fixture it;
    it.set_store_down(true);
    std::this_thread::sleep_for(3s);
    CHECK(it.ready(0));
    CHECK(it.send(0, "read", "r1").status == 200);
    it.set_store_down(false);
    const auto until = std::chrono::steady_clock::now() + 4s;
    int n = 0;
    while (std::chrono::steady_clock::now() < until) {
        CHECK(it.send(static_cast<std::size_t>(n % 2), "read", "s" + std::to_string(n)).status == 200);
        ++n;
    }
    CHECK(n > 20);
}

// Guards against requests for a server that has said that it leaves, while its entry still says otherwise.
TEST_CASE("a server that answers that it is leaving gets no new requests") {
    test::forward_site it;
    it.configure({"key-1"});
    it.start_runner("desk-1", "", {"--leave-quietly", "--leave-ms", "20000"});
    it.start_runner("desk-2", "");
    it.start_gateway(0);
    const auto server_of = [&it](const std::string &id) { return it.send(0, "read", id).field("Response-Signature"); };
    REQUIRE(eventually([&] { return server_of("probe1") == "desk-1"; }));
    REQUIRE(eventually([&] { return server_of("probe2") == "desk-2"; }));
    it.runner("desk-1").signal(SIGTERM);
    const auto hears = [&it] { return !it.send(0, "read", "hear").field("Server-Leaving").empty(); };
    REQUIRE(eventually(hears));
    for (int n = 0; n < 60; ++n) {
        CHECK(server_of("after" + std::to_string(n)) == "desk-2");
        std::this_thread::sleep_for(50ms);
    }
}

// Guards against requests for a server that has asked for a pause, and against a pause without end.
TEST_CASE("a server that asks for a pause gets no requests until it ends") {
    test::forward_site it;
    it.configure({"key-1"});
    it.start_runner("desk-1", "");
    it.start_runner("desk-2", "");
    it.start_gateway(0);
    const auto server_of = [&it](const std::string &id) { return it.send(0, "read", id).field("Response-Signature"); };
    REQUIRE(eventually([&] { return server_of("probe1") == "desk-1"; }));
    REQUIRE(eventually([&] { return server_of("probe2") == "desk-2"; }));
    const auto begun = std::chrono::steady_clock::now();
    int n = 0;
    // The request is refused by the server only if it is sent there.
    const auto paused = [&] {
        const auto answer = it.send(0, "read", "busy" + std::to_string(n++), "key-1", {{"Test-Busy", "desk-1"}});
        return it.gateway(0).output().find("event=server_pausing") != std::string::npos && answer.status == 200;
    };
    REQUIRE(eventually(paused));
    while (std::chrono::steady_clock::now() < begun + 1700ms) {
        CHECK(server_of("pause" + std::to_string(n++)) == "desk-2");
        std::this_thread::sleep_for(20ms);
    }
    CHECK(eventually([&] { return server_of("later" + std::to_string(n++)) == "desk-1"; }, 3s));
}

// Guards against requests cut by a planned stop, and against a process that outlives its grace.
TEST_CASE("SIGTERM cuts no request and ends the process within the grace") {
    fixture it;
    std::atomic<int> cut{0};
    std::atomic<int> refused_early{0};
    std::atomic<bool> stop{false};
    // Requests sent before must be served, later ones may be refused.
    std::atomic<std::chrono::steady_clock::time_point> serve_until{std::chrono::steady_clock::time_point::max()};
    std::mutex mutex;
    std::vector<std::string> refused;
    std::vector<std::jthread> clients;
    clients.reserve(4);
    for (int client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            for (int n = 0; !stop; ++n) {
                const auto id = "c" + std::to_string(client) + "-" + std::to_string(n);
                const bool early = std::chrono::steady_clock::now() < serve_until.load();
                const auto answer = it.send(0, "draft", id, "key-1", {{"Test-Events", "20"}});
                if (answer.status == 503) {
                    refused_early += early ? 1 : 0;
                    const std::scoped_lock lock{mutex};
                    refused.push_back(id);
                } else {
                    cut += answer.status == 200 && answer.body == test::whole_stream(id, 20) ? 0 : 1;
                }
            }
        });
    }
    std::this_thread::sleep_for(500ms);
    serve_until = std::chrono::steady_clock::now() + 2800ms;
    it.gateway(0).signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(it.ready(0));
    std::this_thread::sleep_for(2800ms);
    stop = true;
    clients.clear();
    CHECK(cut == 0);
    CHECK(refused_early == 0);
    CHECK(it.gateway(0).wait(8s) == 0);
    const auto runs = it.runs();
    CHECK(std::ranges::none_of(refused, [&runs](const auto &id) { return runs.contains(id); }));
    // Each line of the log is whole.
    std::istringstream lines{it.gateway(0).output()};
    for (std::string line; std::getline(lines, line);) {
        CHECK((line.starts_with("listening ") || line.find(" event=") != std::string::npos));
    }
}

// Guards against connections that are refused while the balancer may still hand out new ones.
TEST_CASE("a stopping gateway without work answers new connections for three seconds") {
    fixture it;
    const auto stopped_at = std::chrono::steady_clock::now();
    it.gateway(0).signal(SIGTERM);
    std::this_thread::sleep_until(stopped_at + 2800ms);
    int n = 0;
    while (std::chrono::steady_clock::now() < stopped_at + 2990ms) {
        const auto status = it.send(0, "read", "late-" + std::to_string(n++)).status;
        CHECK((status == 200 || status == 503));
        std::this_thread::sleep_for(5ms);
    }
    CHECK(n > 5);
    CHECK(it.gateway(0).wait(8s) == 0);
}

// Callers keep sending while a gateway stops, with answers that take longer than what is left of the grace. Guards
// against taking such a request late, and giving it up at the end of the grace without an answer.
TEST_CASE("a request that arrives late in a graceful stop is refused truthfully, and none is left without an answer") {
    fixture it;
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::jthread> clients;
    clients.reserve(4);
    it.gateway(0).signal(SIGTERM);
    std::this_thread::sleep_for(2700ms);
    // Keeps the gateway busy for two seconds, half of its route's limit.
    test::forward_reply earlier;
    std::jthread first{[&] { earlier = it.send(0, "draft", "first", "key-1", {{"Test-Events", "1000"}}); }};
    // The platform tolerates a cut at the end of the grace only for requests sent within three seconds.
    std::this_thread::sleep_for(330ms);
    for (int client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            for (int n = 0; !stop; ++n) {
                const auto id = "late" + std::to_string(client) + "-" + std::to_string(n);
                const auto answer = it.send(0, "draft", id, "key-1", {{"Test-Events", "1900"}});
                const std::scoped_lock lock{mutex};
                statuses.emplace(id, answer.status);
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    std::this_thread::sleep_for(200ms);
    stop = true;
    clients.clear();
    first.join();
    CHECK(earlier.status == 200);
    CHECK(it.gateway(0).wait(8s) == 0);
    const auto runs = it.runs();
    CHECK(statuses.size() >= 4);
    for (const auto &[id, status] : statuses) {
        CHECK(status == 503);
        CHECK_FALSE(runs.contains(id));
    }
}

namespace {

/** @return Greatest memory that a process has had so far, in MB. */
long peak_memory_mb(pid_t pid) {
    std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stol(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return -1;
}

} // namespace

// Guards against a gateway that exceeds its memory because many servers send bytes without end at the same time, each
// of them within the limit of one answer.
TEST_CASE("answers without end from many servers at once stay within the memory of the gateway") {
    constexpr int servers = 24;
    constexpr int memory_mb = 64;
    const std::string part(std::size_t{64} << 10U, 'x');
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n", "HTTP/1.1 500 Broken\r\n\r\n",
          "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"}) {
        CAPTURE(head);
        test::forward_site it;
        it.set_memory_mb(memory_mb);
        it.configure({"key-1"});
        std::vector<std::unique_ptr<test::endless_server>> all;
        all.reserve(servers);
        for (int n = 0; n < servers; ++n) {
            all.push_back(std::make_unique<test::endless_server>(head, part));
            const nlohmann::json entry{{"Service", "desk"},    {"Address", all.back()->address()},
                                       {"Zone", "east"},       {"Version", "v1"},
                                       {"Slots", 6},           {"State", "ready"},
                                       {"ColdRemainingMs", 0}, {"Sequence", 1}};
            it.write_foreign("servers/endless-" + std::to_string(n), entry.dump());
        }
        it.start_gateway(0);
        REQUIRE(eventually([&it] { return it.ready(0); }));
        std::vector<std::thread> callers;
        callers.reserve(servers);
        std::atomic<int> truthful{0};
        for (int n = 0; n < servers; ++n) {
            callers.emplace_back([&it, &truthful, n] {
                truthful += it.send(0, "book", "endless" + std::to_string(n)).status == 502 ? 1 : 0;
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(truthful == servers);
        CHECK(peak_memory_mb(it.gateway(0).pid()) < memory_mb);
        CHECK(it.ready(0));
    }
}
