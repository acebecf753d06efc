#include <csignal>
#include <doctest/doctest.h>

#include "support/site.hpp"

using namespace dotterelstack;
using test::eventually;
using test::within_seconds;

namespace {

/** Gives an organisation another description, which changes nothing but the version. */
void touch(test::site &it, const std::string &text) {
    const auto done = it.apply([&](auto &values) { values.organisations["amreli"].description = text; });
    CAPTURE(done.errors);
    REQUIRE(done.code == 0);
}

/** Takes the booking service from an organisation, so that the version in force shows in the answers. */
void take_booking(config::declarations &values) {
    values.rows.erase({"amreli", "booking"});
}

void give_booking(config::declarations &values) {
    auto row = values.rows.at({"morbi", "booking"});
    row.organisation = "amreli";
    values.rows[{"amreli", "booking"}] = row;
}

int booking_status(const test::site &it, std::size_t entry) {
    return it.call(entry, "GET", "/services/booking/availability").status;
}

bool all_have(test::site &it, std::size_t entries, std::uint64_t version) {
    for (std::size_t n = 0; n < entries; ++n) {
        if (it.version_of(n) < version) {
            return false;
        }
    }
    return true;
}

/** Reads versions as they come and notices a step back. */
class version_watch {
public:
    void read(test::site &it, std::size_t entry) {
        // No answer is no version.
        if (const auto version = it.version_of(entry); version != 0) {
            stepped_back_ = stepped_back_ || version < highest_;
            highest_ = std::max(highest_, version);
        }
    }
    [[nodiscard]] bool stepped_back() const noexcept { return stepped_back_; }
    [[nodiscard]] std::uint64_t highest() const noexcept { return highest_; }

private:
    std::uint64_t highest_{0};
    bool stepped_back_{false};
};

} // namespace

// Guards against a change that is accepted and does not come into force everywhere, and against a version that steps
// back. The answers before the change show that the check can fail.
TEST_CASE("promise 14: an applied change is in force at all entries within seconds") {
    test::site it{{.engines = 0, .services = 1, .entries = 3}};
    const auto before = it.version_of(0);
    REQUIRE(before > 0);
    version_watch watch;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        const bool away = n % 2 == 1;
        REQUIRE(booking_status(it, 0) == (away ? 200 : 403));
        if (away) {
            // The risk has to be accepted by name; until then nothing is in force.
            CHECK(it.apply(&take_booking).code == 3);
            CHECK(booking_status(it, 0) == 200);
        }
        REQUIRE(it.apply(away ? &take_booking : &give_booking, {"service_lost"}).code == 0);
        CHECK(eventually(
            [&] {
                bool all = true;
                for (std::size_t entry = 0; entry < 3; ++entry) {
                    watch.read(it, 0);
                    all = all && booking_status(it, entry) == (away ? 403 : 200);
                }
                return all;
            },
            within_seconds));
    }
    CHECK(eventually(
        [&] {
            watch.read(it, 0);
            return watch.highest() == before + 4;
        },
        within_seconds));
    CHECK_FALSE(watch.stepped_back());
}

// Guards against an entry that was paused while changes were made and goes on with the old configuration.
TEST_CASE("promise 14: a paused entry takes the newest version after it resumes") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    it.entry(1).signal(SIGSTOP);
    touch(it, "first");
    touch(it, "second");
    REQUIRE(eventually([&] { return it.version_of(0) >= 3; }, within_seconds));
    it.entry(1).signal(SIGCONT);
    version_watch watch;
    CHECK(eventually(
        [&] {
            watch.read(it, 1);
            return watch.highest() == it.version_of(0);
        },
        within_seconds));
    CHECK_FALSE(watch.stepped_back());
}

// Guards against a paused entry that serves by its old table when the store is down at the moment it resumes.
TEST_CASE("promise 14: a paused entry learns the newest version from its peer while the store is down") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    it.entry(1).signal(SIGSTOP);
    touch(it, "while paused");
    REQUIRE(eventually([&] { return it.version_of(0) >= 2; }, within_seconds));
    it.store_faults({{"outage", true}});
    it.entry(1).signal(SIGCONT);
    version_watch watch;
    CHECK(eventually(
        [&] {
            watch.read(it, 1);
            return watch.highest() >= 2;
        },
        within_seconds));
    CHECK_FALSE(watch.stepped_back());
    CHECK(eventually([&] { return booking_status(it, 1) == 200; }));
}

// Guards against an entry that starts with no configuration, or an old one, because the store is down.
TEST_CASE("promise 14: an entry that starts while the store is down takes the newest version from a peer") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    it.entry(1).signal(SIGKILL);
    REQUIRE(it.entry(1).wait() == -SIGKILL);
    touch(it, "while down");
    REQUIRE(eventually([&] { return it.version_of(0) >= 2; }, within_seconds));
    it.store_faults({{"outage", true}});
    const auto fresh = it.start_entry();
    CHECK(eventually([&] { return it.version_of(fresh) >= 2; }, within_seconds));
    it.store_faults({{"outage", false}});
    touch(it, "after the outage");
    CHECK(eventually([&] { return all_have(it, 1, 3) && it.version_of(fresh) >= 3; }, within_seconds));
}

// Guards against a late read of an older state that takes a newer version out of force.
TEST_CASE("promise 14: stale reads of the store never take a version back") {
    test::site it{{.engines = 0, .services = 1, .entries = 2}};
    touch(it, "second");
    touch(it, "third");
    REQUIRE(eventually([&] { return all_have(it, 2, 3); }, within_seconds));
    it.store_faults({{"stale_reads", 50}, {"prefix", "config/"}});
    version_watch first;
    version_watch second;
    const auto until = std::chrono::steady_clock::now() + within_seconds;
    while (std::chrono::steady_clock::now() < until) {
        first.read(it, 0);
        second.read(it, 1);
    }
    it.store_faults({{"stale_reads", 0}, {"prefix", ""}});
    touch(it, "fourth");
    CHECK(eventually(
        [&] {
            first.read(it, 0);
            second.read(it, 1);
            return all_have(it, 2, 4);
        },
        within_seconds));
    CHECK_FALSE(first.stepped_back());
    CHECK_FALSE(second.stepped_back());
}
