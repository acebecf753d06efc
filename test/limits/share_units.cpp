#include "limits/share_units.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

// Guards against a share of 0 that is taken for unlimited, and against an unlimited row that is limited to 0.
TEST_CASE("shares keep unlimited and exhausted apart") {
    const auto limit = amounts_of({.max_concurrency = 4, .requests_per_second = 0.0001, .prompt_tokens_per_second = 0});
    CHECK(limit == share_amounts{4, 1, 0, 0});
    const auto share = share_of(limit, {0, 1, 0, 0});
    CHECK(share.max_concurrency == 0U);
    CHECK(share.requests_per_second == 0.001);
    CHECK_FALSE(share.prompt_tokens_per_second.has_value());
    manual_clock clock;
    admission it{clock};
    it.set_capacity("drafting", 10);
    it.set_row({"large", "drafting"}, {.max_concurrency = 4, .max_queue = 0});
    it.set_share({"large", "drafting"}, share);
    CHECK(it.submit({"a", {"large", "drafting"}, 1, 1, 0, instant::max()}).reason == refusal::concurrency);
}

// Guards against a demand that omits waiting requests, so that a row without a floor would never be lent anything.
TEST_CASE("a demand covers running requests, waiting requests and headroom") {
    manual_clock clock;
    admission it{clock};
    const row_key row{"large", "drafting"};
    it.set_capacity("drafting", 2);
    it.set_row(row, {});
    const auto before = it.status(row);
    for (const auto *id : {"a", "b", "c"}) {
        (void)it.submit({id, row, 100, 20, 0, instant::max()});
    }
    const auto use = use_of(before, it.status(row), 500ms);
    CHECK(use.wanted == share_amounts{4, 6250, 625'000, 125'000});
    CHECK(use.in_use == share_amounts{2, 0, 0, 0});
}
