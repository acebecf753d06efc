#include "config/merge.hpp"

#include <doctest/doctest.h>

#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

struct fixture {
    config::declarations start = test::sample_declarations();
    config::change first = test::make_change(1, {}, start);
    config::state_ptr exported = config::apply_change(std::make_shared<const config::config_state>(), first).value();
    config::merge_base base = config::make_base(*exported);

    [[nodiscard]] config::state_ptr after(const config::declarations &theirs) const {
        auto next = test::make_change(2, start, theirs);
        next.author = "bob";
        return config::apply_change(exported, next).value();
    }
};

const config::row_name north_drafting{"north", "drafting"};
const config::row_name south_booking{"south", "booking"};

} // namespace

// Guards against an apply that reverts changes of another operator in rows that this operator did not edit.
TEST_CASE("edits of different rows are merged, older rows of the files are not applied") {
    const fixture it;
    auto mine = it.start;
    mine.rows[north_drafting].weight = 2;
    auto theirs = it.start;
    theirs.rows[south_booking].weight = 3;
    theirs.organisations["east"] = {"east", ""};
    const auto got = config::merge(mine, it.base, *it.after(theirs));
    REQUIRE(got.changes.size() == 1);
    CHECK(got.changes[0].item == "row/north/drafting");
    CHECK(got.conflicts.empty());
    CHECK(got.kept == std::vector<std::string>{"organisation/east", "row/south/booking"});
}

// Guards against overwriting a newer edit of the same row, including its removal.
TEST_CASE("different edits of one row are a conflict that names author, time, both values and remedy") {
    const fixture it;
    auto mine = it.start;
    mine.rows[north_drafting].weight = 2;
    mine.rows[south_booking].weight = 2;
    auto theirs = it.start;
    theirs.rows[north_drafting].weight = 3;
    theirs.rows.erase(south_booking);
    const auto state = it.after(theirs);
    const auto got = config::merge(mine, it.base, *state);
    CHECK(got.changes.empty());
    REQUIRE(got.conflicts.size() == 2);
    const auto ec = config::describe(got.conflicts);
    CHECK(ec.kind == base::error_kind::conflict);
    for (const auto *part : {"row/north/drafting: changed by bob at 12:00 (version 2)", "\"weight\":3.0",
                             "\"weight\":2.0", "theirs: removed", "--overwrite row/north/drafting@2"}) {
        CHECK_MESSAGE(ec.message.find(part) != std::string::npos, part, " missing in ", ec.message);
    }
    const auto decided = config::merge(mine, it.base, *state, {"row/north/drafting@2", "row/south/booking@1"});
    CHECK(decided.changes.size() == 1);
    CHECK(decided.conflicts.size() == 1);
}

// Guards against reporting a conflict between operators who made the same edit.
TEST_CASE("equal edits need no change") {
    const fixture it;
    auto both = it.start;
    both.rows[north_drafting].weight = 2;
    const auto got = config::merge(both, it.base, *it.after(both));
    CHECK(got.changes.empty());
    CHECK(got.conflicts.empty());
    CHECK(got.kept.empty());
}

// Guards against files whose older rows count as edits after the files were applied.
TEST_CASE("after an apply the base keeps the digest of rows that the files do not have yet") {
    const fixture it;
    auto mine = it.start;
    mine.rows[north_drafting].weight = 2;
    auto theirs = mine;
    theirs.rows[south_booking].weight = 3;
    const auto state = it.after(theirs);
    const auto base = config::advance_base(it.base, mine, *state);
    CHECK(base.version == 2);
    const auto got = config::merge(mine, base, *state);
    CHECK(got.changes.empty());
    CHECK(got.conflicts.empty());
    CHECK(got.kept == std::vector<std::string>{"row/south/booking"});
}
