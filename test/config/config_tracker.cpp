#include "config/config_tracker.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/sample.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

template<typename Type>
const Type *only(const config::tracker_actions &actions) {
    return actions.size() == 1 ? std::get_if<Type>(&actions.front()) : nullptr;
}

} // namespace

// Guards against a stale read that reverts the configuration or that counts as a confirmation of its age.
TEST_CASE("a stale read is ignored and does not reset the age of the configuration") {
    const auto chain = test::make_chain(3);
    base::manual_clock clock;
    config::config_tracker tracker{clock};
    CHECK_FALSE(tracker.age().has_value());
    REQUIRE(only<config::adopted>(tracker.on_head(test::head_text(chain, 3), clock.now())));
    clock.advance(4s);
    const auto actions = tracker.on_head(test::head_text(chain, 2), clock.now());
    REQUIRE(only<config::offer_ignored>(actions));
    CHECK(only<config::offer_ignored>(actions)->problem == config::offer_problem::stale);
    CHECK(only<config::offer_ignored>(tracker.on_head(std::nullopt, clock.now())));
    CHECK(tracker.current()->version() == 3);
    CHECK(tracker.age() == 4s);
    CHECK(tracker.on_head(test::head_text(chain, 3), clock.now()).empty());
    CHECK(tracker.age() == 0s);
    CHECK(tracker.on_head(test::head_text(chain, 3), clock.now() - 2s).empty());
    CHECK(tracker.age() == 0s);
}

// Guards against a process that cannot catch up after the head no longer contains the changes since its version.
TEST_CASE("missing changes are replaced by the snapshot, also if a newer head arrives before it") {
    const auto chain = test::make_chain(9);
    base::manual_clock clock;
    config::config_tracker tracker{clock};
    REQUIRE(only<config::adopted>(tracker.on_head(test::head_text(chain, 1), clock.now())));
    const auto wanted = tracker.on_head(test::head_text(chain, 6, 4), clock.now());
    REQUIRE(only<config::fetch_snapshot>(wanted));
    CHECK(only<config::fetch_snapshot>(wanted)->version == 4);
    CHECK(tracker.on_head(test::head_text(chain, 6, 4), clock.now()).empty());
    REQUIRE(only<config::fetch_snapshot>(tracker.on_head(test::head_text(chain, 9, 7), clock.now())));
    CHECK(tracker.on_snapshot(4, config::encode_snapshot(*test::state_after(chain, 4))).empty());
    const auto done = tracker.on_snapshot(7, config::encode_snapshot(*test::state_after(chain, 7)));
    REQUIRE(only<config::adopted>(done));
    CHECK(tracker.current()->version() == 9);
    CHECK(tracker.current()->values() == test::state_after(chain, 9)->values());
}

// Guards against a snapshot that reverts the configuration because a peer has sent a newer one in the meantime.
TEST_CASE("a late snapshot does not revert a newer configuration from a peer") {
    const auto chain = test::make_chain(9);
    base::manual_clock clock;
    config::config_tracker tracker{clock};
    config::config_tracker peer{clock};
    REQUIRE(only<config::adopted>(peer.on_head(test::head_text(chain, 9), clock.now())));
    REQUIRE(only<config::fetch_snapshot>(tracker.on_head(test::head_text(chain, 6, 4), clock.now())));
    REQUIRE(only<config::adopted>(tracker.on_peer(peer.answer_peer(std::nullopt), clock.now())));
    CHECK(tracker.on_snapshot(4, config::encode_snapshot(*test::state_after(chain, 4))).empty());
    CHECK(tracker.current()->version() == 9);
}

// Guards against a process that starts during a store outage and reports the configuration of its peer as current.
TEST_CASE("a process that gets its configuration from a peer reports the age known to the peer") {
    const auto chain = test::make_chain(5);
    base::manual_clock clock;
    config::config_tracker old_peer{clock};
    config::config_tracker new_peer{clock};
    config::config_tracker idle_peer{clock};
    (void)old_peer.on_head(test::head_text(chain, 3), clock.now());
    clock.advance(10s);
    (void)new_peer.on_head(test::head_text(chain, 5), clock.now());
    clock.advance(20s);
    config::config_tracker tracker{clock};
    CHECK(tracker.on_peer(idle_peer.answer_peer(std::nullopt), clock.now()).empty());
    CHECK(tracker.current() == nullptr);
    const auto first = tracker.on_peer(old_peer.answer_peer(std::nullopt), clock.now());
    REQUIRE(only<config::adopted>(first));
    CHECK(only<config::adopted>(first)->from_peer);
    CHECK(tracker.age() == 30s);
    REQUIRE(only<config::adopted>(tracker.on_peer(new_peer.answer_peer(3), clock.now())));
    CHECK(tracker.current()->version() == 5);
    CHECK(tracker.age() == 20s);
    REQUIRE(only<config::offer_ignored>(tracker.on_peer(old_peer.answer_peer(std::nullopt), clock.now())));
    CHECK(tracker.current()->version() == 5);
}

// Guards against a process that restarts with an older configuration than was accepted while it was down.
TEST_CASE("a process receives a configuration that was accepted while it was down") {
    const auto chain = test::make_chain(9);
    base::manual_clock clock;
    config::config_tracker up{clock};
    REQUIRE(only<config::adopted>(up.on_head(test::head_text(chain, 3), clock.now())));
    REQUIRE(only<config::adopted>(up.on_head(test::head_text(chain, 9, 2), clock.now())));
    config::config_tracker from_store{clock};
    const auto wanted = from_store.on_head(test::head_text(chain, 9, 6), clock.now());
    REQUIRE(only<config::fetch_snapshot>(wanted));
    from_store.on_snapshot_failed();
    REQUIRE(only<config::fetch_snapshot>(from_store.on_head(test::head_text(chain, 9, 6), clock.now())));
    CHECK(only<config::adopted>(from_store.on_snapshot(6, config::encode_snapshot(*test::state_after(chain, 6)))));
    config::config_tracker from_peer{clock};
    CHECK(only<config::adopted>(from_peer.on_peer(up.answer_peer(std::nullopt), clock.now())));
    for (const auto *it : {&from_store, &from_peer}) {
        CHECK(it->current()->version() == 9);
        CHECK(it->current()->values() == up.current()->values());
        CHECK(it->age() == 0s);
    }
}

// Guards against mixing two histories silently after the store was restored from a backup.
TEST_CASE("the same version with another change is reported as diverged") {
    auto chain = test::make_chain(3);
    base::manual_clock clock;
    config::config_tracker tracker{clock};
    (void)tracker.on_head(test::head_text(chain, 3), clock.now());
    clock.advance(1s);
    chain[2].id = "restored";
    const auto actions = tracker.on_head(test::head_text(chain, 3), clock.now());
    REQUIRE(only<config::offer_ignored>(actions));
    CHECK(only<config::offer_ignored>(actions)->problem == config::offer_problem::diverged);
    config::config_tracker peer{clock};
    (void)peer.on_head(test::head_text(chain, 3), clock.now());
    const auto from_peer = tracker.on_peer(peer.answer_peer(3), clock.now());
    REQUIRE(only<config::offer_ignored>(from_peer));
    CHECK(only<config::offer_ignored>(from_peer)->problem == config::offer_problem::diverged);
    CHECK(tracker.age() == 1s);
    CHECK(only<config::offer_ignored>(tracker.on_head("{", clock.now())));
    CHECK(only<config::offer_ignored>(tracker.on_peer("[]", clock.now())));
}

// Guards against an order of reads, snapshots and peer answers that reverts the version or mixes content of versions.
TEST_CASE("random histories never revert and the content matches the version") {
    const auto chain = test::make_chain(12);
    const bool ok = rc::check("never older, always the content of its version", [&chain] {
        base::manual_clock clock;
        config::config_tracker tracker{clock};
        config::config_tracker peer{clock};
        std::uint64_t highest = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 144)));
        for (const auto &[kind, n] : steps) {
            const auto version = static_cast<std::size_t>(n % 12 + 1);
            const auto snapshot = static_cast<std::size_t>(n / 12) % version;
            clock.advance(1ms);
            if (kind == 0) {
                (void)tracker.on_head(test::head_text(chain, version, snapshot), clock.now());
            } else if (kind == 1 && version < 12) {
                (void)tracker.on_snapshot(version, config::encode_snapshot(*test::state_after(chain, version)));
            } else if (kind == 2) {
                (void)peer.on_head(test::head_text(chain, version), clock.now());
            } else if (kind == 3) {
                const auto since = tracker.current() ? std::optional{tracker.current()->version()} : std::nullopt;
                (void)tracker.on_peer(peer.answer_peer(since), clock.now());
            }
            if (tracker.current()) {
                RC_ASSERT(tracker.current()->version() >= highest);
                highest = tracker.current()->version();
                RC_ASSERT(tracker.current()->values() == test::state_after(chain, highest)->values());
            }
        }
    });
    CHECK(ok);
}
