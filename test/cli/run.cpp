#include "cli/run.hpp"

#include <doctest/doctest.h>

#include "cli/fixture.hpp"

using namespace dotterelstack;
using test::has;

// Guards against commands without help, version or usage error, and against changed exit codes, on which scripts rely.
TEST_CASE("every command has help, version and a usage error") {
    test::cli_fixture it;
    for (const auto name : cli::command_names()) {
        CAPTURE(name);
        CHECK(it.run({std::string{name}, "--help"}, false) == 0);
        CHECK(has(it.out, "dotterelstack " + std::string{name}));
        CHECK(it.run({std::string{name}, "--version"}, false) == 0);
        CHECK(has(it.out, DOTTERELSTACK_VERSION));
        CHECK(it.run({std::string{name}, "--no-such-option"}, false) == 2);
        CHECK(has(it.err, "--help"));
    }
    CHECK(it.run({}, false) == 2);
    CHECK(it.run({"no-such-command"}, false) == 2);
    CHECK(it.run({"--help"}, false) == 0);
    CHECK(has(it.out, "check-settings"));
    CHECK(it.run({"--version"}, false) == 0);
    CHECK(it.run({"get"}, false) == 2);
    CHECK(has(it.err, "--store"));
}

// Guards against a store client without an address: the caller of `run` creates it before the options are parsed.
TEST_CASE("addresses are found as `--option VALUE` and as `--option=VALUE`") {
    const std::vector<std::string_view> separate_value{"get", "--store", "127.0.0.1:1"};
    CHECK(cli::find_addresses(separate_value).store == "127.0.0.1:1");
    const std::vector<std::string_view> joined{"get", "--platform=127.0.0.1:2"};
    CHECK(cli::find_addresses(joined).platform == "127.0.0.1:2");
    CHECK_FALSE(cli::find_addresses(joined).store.has_value());
}

// Guards against showing an unreachable store as an empty configuration.
TEST_CASE("a store that does not answer is a failure") {
    test::cli_fixture it;
    it.store.down = true;
    CHECK(it.run({"get"}) == 1);
    CHECK(it.run({"usage"}) == 0);
    CHECK(it.run({"status"}) == 1);
    CHECK(has(it.out, "the store does not answer"));
}

// Guards against check-settings and process start-up disagreeing about a settings file.
TEST_CASE("check-settings reports the problems of every kind of file") {
    test::cli_fixture it;
    std::ofstream{it.path("e.json")} << R"({"name": "e"})";
    CHECK(it.run({"check-settings", "entry", it.path("e.json")}, false) == 2);
    CHECK(has(it.err, "failure_domain: expected this field"));
    std::ofstream{it.path("a.json")} << R"({"host":"h","failure_domain":"d","listen":"127.0.0.1:0","backends":[]})";
    CHECK(it.run({"check-settings", "agent", it.path("a.json"), "--set", "store=127.0.0.1:5"}, false) == 0);
    CHECK(it.run({"check-settings", "agent", it.path("none.json")}, false) == 2);
    CHECK(it.run({"check-settings", "declarations", it.path("nothing")}, false) == 2);
    CHECK(has(it.err, "table.csv"));
    CHECK(it.run({"check-settings", "other", it.path("a.json")}, false) == 2);
}

// Guards against showing figures as reported before the platform has accepted them.
TEST_CASE("usage shows sealed windows and marks the reported ones") {
    test::cli_fixture it;
    REQUIRE(it.store.put("usage/sealed/12",
                         R"({"figures":[{"organisation":"north","requests":3},{"organisation":"south","requests":4}]})",
                         store::absent));
    REQUIRE(it.store.put("usage/sealed/13", "other form", store::absent));
    REQUIRE(it.store.put("usage/reported/12", "{}", store::absent));
    CHECK(it.run({"usage"}) == 0);
    CHECK(has(it.out, "12 reported {\"organisation\":\"north\""));
    CHECK(has(it.out, "13 sealed other form"));
    CHECK(it.run({"usage", "--window", "12", "--organisation", "south"}) == 0);
    CHECK_FALSE(has(it.out, "north"));
    CHECK(it.run({"usage", "--window", "14"}) == 1);
}
