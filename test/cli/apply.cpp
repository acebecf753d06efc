#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <thread>

#include "cli/fixture.hpp"

using namespace dotterelstack;
using test::has;

namespace {

const config::row_name north_drafting{"north", "drafting"};
const config::row_name south_booking{"south", "booking"};

std::function<void(config::declarations &)> weight(const config::row_name &name, double n) {
    return [name, n](config::declarations &it) { it.rows[name].weight = n; };
}

} // namespace

// Guards against export and apply changing declarations in a round trip.
TEST_CASE("exported files apply without a change") {
    test::cli_fixture it;
    it.start();
    const auto copy = it.path("copy");
    CHECK(it.run({"export", copy}) == 0);
    CHECK(it.run({"plan", copy}) == 0);
    CHECK(has(it.out, "0 changes, 0 conflicts, 0 risks"));
    CHECK(it.run({"apply", copy, "--author", "bob"}) == 0);
    CHECK(has(it.out, "nothing to change"));
    CHECK(it.state()->version() == 1);
    CHECK(it.run({"check-settings", "declarations", copy}, false) == 0);
}

// Guards against lost updates when two operators edit different rows of the same export.
TEST_CASE("two operators who edit different rows both keep their edits") {
    test::cli_fixture it;
    const auto mine = it.start();
    const auto theirs = it.path("theirs");
    REQUIRE(it.run({"export", theirs}) == 0);
    it.edit(mine, weight(north_drafting, 2));
    it.edit(theirs, weight(south_booking, 3));
    REQUIRE(it.run({"apply", mine, "--author", "alice"}) == 0);
    REQUIRE(it.run({"apply", theirs, "--author", "bob"}) == 0);
    CHECK(has(it.out, "= row/north/drafting was changed by others"));
    REQUIRE(it.run({"apply", mine, "--author", "alice"}) == 0);
    REQUIRE(it.run({"apply", theirs, "--author", "bob"}) == 0);
    CHECK(it.state()->values().rows.at(north_drafting).weight == 2);
    CHECK(it.state()->values().rows.at(south_booking).weight == 3);
    CHECK(it.state()->version() == 3);
}

// Guards against overwriting a newer edit of the same row.
TEST_CASE("a conflict is refused with exit code 3, and --overwrite resolves it for one version") {
    test::cli_fixture it;
    const auto mine = it.start();
    const auto theirs = it.path("theirs");
    REQUIRE(it.run({"export", theirs}) == 0);
    it.edit(mine, weight(north_drafting, 2));
    it.edit(theirs, weight(north_drafting, 3));
    REQUIRE(it.run({"apply", theirs, "--author", "bob"}) == 0);
    CHECK(it.run({"plan", mine}) == 3);
    CHECK(it.run({"apply", mine, "--author", "alice"}) == 3);
    CHECK(has(it.err, "row/north/drafting: changed by bob at "));
    CHECK(has(it.err, "\"weight\":3.0"));
    CHECK(it.state()->values().rows.at(north_drafting).weight == 3);
    CHECK(it.run({"export", mine}) == 3);
    CHECK(has(it.err, "edits that were not applied:\n  row/north/drafting"));
    CHECK(it.run({"apply", mine, "--author", "alice", "--overwrite", "row/north/drafting@1"}) == 3);
    CHECK(it.run({"apply", mine, "--author", "alice", "--overwrite", "row/north/drafting@2"}) == 0);
    CHECK(it.state()->values().rows.at(north_drafting).weight == 2);
    CHECK(it.run({"export", theirs, "--force"}) == 0);
    CHECK(it.run({"get", "--history", "row/north/drafting"}) == 0);
    CHECK(has(it.out, "~ row/north/drafting weight: 3.0 -> 2.0"));
}

// Guards against a race between the conflict check and the commit, after which several operators see success although
// only one edit is kept.
TEST_CASE("of operators who apply the same row at the same time exactly one succeeds") {
    test::cli_fixture it;
    it.start();
    for (int round = 0; round < 10; ++round) {
        constexpr std::size_t writers = 3;
        std::array<int, writers> codes{};
        std::vector<std::thread> threads;
        threads.reserve(writers);
        for (std::size_t n = 0; n < writers; ++n) {
            const auto directory = it.path("w" + std::to_string(n));
            REQUIRE(it.run({"export", directory, "--force"}) == 0);
            it.edit(directory, weight(north_drafting, 10 * round + 2 + static_cast<int>(n)));
            it.edit(directory, weight({n == 0 ? "south" : "north", n == 2 ? "drafting" : "booking"}, 100 + round));
        }
        for (std::size_t n = 0; n < writers; ++n) {
            threads.emplace_back([&it, &codes, n] {
                std::ostringstream out;
                std::ostringstream err;
                const auto directory = it.path("w" + std::to_string(n));
                const std::vector<std::string_view> arguments{"apply",   directory,     "--author",   "writer",
                                                              "--store", "127.0.0.1:1", "--platform", "127.0.0.1:2"};
                codes[n] = cli::run(arguments, {it.store, it.platform, it.entries, out, err, it.clock,
                                                [](base::duration) { std::this_thread::yield(); }});
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        const auto winner = std::find(codes.begin(), codes.end(), 0);
        REQUIRE(std::count(codes.begin(), codes.end(), 0) == 1);
        CHECK(std::count(codes.begin(), codes.end(), 3) == 2);
        const auto n = static_cast<int>(winner - codes.begin());
        // Writer 2 sets this row twice; its last value applies.
        CHECK(it.state()->values().rows.at(north_drafting).weight == (n == 2 ? 100 + round : 10 * round + 2 + n));
    }
}

// Guards against an apply that withdraws a service or capacity in use without the operator accepting the risk.
TEST_CASE("risks are refused with exit code 3 until they are accepted by name") {
    test::cli_fixture it;
    const auto directory = it.start();
    it.edit(directory, [](config::declarations &values) { values.rows.erase(south_booking); });
    CHECK(it.run({"plan", directory}) == 3);
    CHECK(has(it.out, "- row/south/booking"));
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 3);
    CHECK(has(it.err, "--accept-risk service_lost"));
    CHECK(it.state()->version() == 1);
    CHECK(it.run({"apply", directory, "--author", "alice", "--accept-risk", "service_lost:row/south/booking"}) == 0);
    CHECK(it.state()->version() == 2);
    it.edit(directory, [](config::declarations &values) { values.rows[north_drafting].concurrency = 2; });
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 3);
    CHECK(has(it.err, "concurrency falls to 2.0 and 3.0 are in use now"));
    it.platform.down = true;
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 3);
    CHECK(has(it.err, "present_use_unknown"));
    CHECK(it.run({"apply", directory, "--author", "alice", "--accept-risk", "present_use_unknown"}) == 0);
}

// Guards against reporting a failure when the write succeeded and only its response was lost.
TEST_CASE("apply resolves a lost response and reports the committed version") {
    test::cli_fixture it;
    const auto directory = it.start();
    it.edit(directory, weight(north_drafting, 2));
    it.store.lose_put_answers = 1;
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 0);
    CHECK(has(it.out, "the configuration has version 2"));
    it.edit(directory, weight(north_drafting, 3));
    it.store.drop_puts = 1000;
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 1);
    CHECK(has(it.err, "look for it with `get --history`"));
}

// Guards against partly applying invalid files, and against errors in one file hiding those in another.
TEST_CASE("problems of all files are reported at once and nothing is changed") {
    test::cli_fixture it;
    const auto directory = it.start();
    std::ofstream{directory + "/organisations.json"} << "[{\"name\": \"north\"}, {\"name\": \"north\", \"nmae\": 1}]";
    std::ofstream{directory + "/table.csv", std::ios::app} << "north,drafting,1\n";
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 2);
    CHECK(has(it.err, "organisations.json: [1].nmae: expected one of"));
    CHECK(has(it.err, "organisations.json: [1]: expected each name once"));
    CHECK(has(it.err, "table.csv: line 6: expected 8 as in the header"));
    CHECK(it.state()->version() == 1);
}

// Guards against reactivating a withdrawn key by applying files that were exported before its withdrawal.
TEST_CASE("older files do not reactivate a withdrawn key") {
    test::cli_fixture it;
    const auto directory = it.start();
    REQUIRE(it.run({"key", "withdraw", "key-north", "--author", "bob", "--no-confirm"}) == 0);
    CHECK(it.run({"apply", directory, "--author", "alice"}) == 0);
    CHECK(has(it.out, "= key/key-north was changed by others"));
    CHECK(it.state()->values().keys.at("key-north").withdrawn);
    REQUIRE(it.run({"export", directory}) == 0);
    it.edit(directory, [](config::declarations &values) { values.keys["key-north"].withdrawn = false; });
    CHECK(it.run({"apply", directory, "--author", "alice", "--accept-risk", "key_stops_working"}) == 2);
    CHECK(has(it.err, "a withdrawn key stays withdrawn"));
}
