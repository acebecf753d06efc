#include <csignal>
#include <thread>

#include "standin/support.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

// Guards against stand-ins that cannot be started on any port or that end with a failure on SIGTERM.
TEST_CASE("every stand-in listens on a free port and ends with 0 on SIGTERM") {
    for (const std::string name : {"engine", "service", "store", "platform"}) {
        CAPTURE(name);
        test::standin_program it{name};
        CHECK(it.address.starts_with("127.0.0.1:"));
        it.process.signal(SIGTERM);
        CHECK(it.process.wait() == 0);
    }
}

// Guards against a wrong option that is silently ignored.
TEST_CASE("an unknown option ends a stand-in with 2") {
    for (const std::string name : {"engine", "service", "store", "platform"}) {
        CAPTURE(name);
        test::child_process it{"standin_" + name, {"--no-such-option"}};
        CHECK(it.wait() == 2);
        CHECK_THROWS_AS((void)it.address(name), std::runtime_error);
    }
}

// Guards against an engine that never generates because of a wrong value.
TEST_CASE("a wrong value of an option ends the engine with 2") {
    const std::vector<std::vector<std::string>> wrong{{"--role", "fast"},      {"--honour-fence", "maybe"},
                                                      {"--batch", "0"},        {"--tokens-per-second", "0"},
                                                      {"--block-tokens", "0"}, {"--blocks", "many"}};
    for (const auto &arguments : wrong) {
        CAPTURE(arguments.front());
        test::child_process it{"standin_engine", arguments};
        CHECK(it.wait() == 2);
    }
}

// Guards against a stop that breaks an open stream, and against one that waits for held watches.
TEST_CASE("SIGTERM lets an engine finish its stream and releases a store's watches") {
    test::standin_program engine{"engine", {"--tokens-per-second", "50"}};
    std::string got;
    bool stopped = false;
    const auto sink = [&](std::string_view part) {
        got += part;
        if (!std::exchange(stopped, true)) {
            engine.process.signal(SIGTERM);
        }
        return true;
    };
    const std::string body = R"({"prompt":"a","max_tokens":10,"stream":true})";
    http::curl_client client;
    CHECK(client.stream(engine.address, {"POST", "/v1/completions", {}, body}, {}, sink));
    CHECK(got.ends_with("data: [DONE]\n\n"));
    CHECK(engine.process.wait() == 0);

    test::standin_program store{"store"};
    std::thread stopper{[&store] {
        std::this_thread::sleep_for(200ms);
        store.process.signal(SIGTERM);
    }};
    const auto answer = store.call("GET", "/v1/watch?prefix=a&since=0&wait_ms=60000");
    stopper.join();
    CHECK(answer);
    CHECK(store.process.wait() == 0);
}

// Guards against tests that mistake a paused process for one that has ended, and against children left behind.
TEST_CASE("a child can be paused, continued and killed") {
    test::standin_program it{"service"};
    it.process.signal(SIGSTOP);
    const auto silent = it.call("GET", "/availability", {}, {}, {.timeout = 200ms});
    REQUIRE_FALSE(silent);
    CHECK(silent.error().kind == base::error_kind::unknown_outcome);
    CHECK_FALSE(it.process.wait(50ms));
    it.process.signal(SIGCONT);
    CHECK(it.call("GET", "/availability"));
    it.process.signal(SIGKILL);
    CHECK(it.process.wait() == -SIGKILL);

    pid_t left = 0;
    {
        const test::child_process child{"standin_service"};
        left = child.pid();
    }
    CHECK(::kill(left, 0) == -1);
}

// Guards against a helper that looks for programs elsewhere when the one under test was not built.
TEST_CASE("a missing program is an error that names it") {
    CHECK_THROWS_WITH_AS(test::child_process{"no_such_program"}, doctest::Contains("no_such_program"),
                         std::runtime_error);
}
