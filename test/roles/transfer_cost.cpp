#include "roles/transfer_cost.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace dotterelstack::roles;
using namespace std::chrono_literals;

// Guards against state that is moved to another failure domain, and against the more expensive choice.
TEST_CASE("the decision agrees with independently computed times") {
    CHECK(rc::check("transfer differential", [] {
        const transfer_offer offer{.held_tokens = *rc::gen::inRange(0U, 20'000U),
                                   .hit_tokens = *rc::gen::inRange(0U, 20'000U),
                                   .active_transfers = *rc::gen::inRange(0U, 5U),
                                   .overlap = std::chrono::milliseconds{*rc::gen::inRange(0, 900)},
                                   .prefill_backlog = std::chrono::milliseconds{*rc::gen::inRange(0, 900)},
                                   .same_failure_domain = *rc::gen::arbitrary<bool>()};
        const auto missing = std::max(0.0, double(offer.held_tokens) - double(offer.hit_tokens));
        const auto overlap = std::chrono::duration<double>(offer.overlap).count();
        const auto backlog = std::chrono::duration<double>(offer.prefill_backlog).count();
        const auto move = 0.005 + std::max(0.0, missing * 74e3 * (offer.active_transfers + 1) / 1.25e9 - overlap);
        const auto compute = backlog + missing / 6400;
        const auto plan = plan_transfer({}, offer);
        const bool moved = plan.choice == transfer_choice::move;
        RC_ASSERT(!moved || offer.same_failure_domain);
        const auto expected = std::chrono::duration<double>(plan.expected).count();
        RC_ASSERT(std::abs(expected - (moved ? move : compute)) < 1e-6);
        const auto limit = compute + missing / 6400;
        const bool should = offer.same_failure_domain && missing > 0 && move < limit;
        RC_ASSERT(moved == should || std::abs(move - limit) < 1e-6);
    }));
}

// Guards against transfers over a link so slow that recomputing the prompt costs less, and against recomputation at an
// engine with a long backlog.
TEST_CASE("a slow link moves state only to engines with a backlog") {
    const transfer_settings slow{.bytes_per_second = 100e6};
    transfer_offer offer{.held_tokens = 5000, .same_failure_domain = true};
    CHECK(plan_transfer({}, offer).choice == transfer_choice::move);
    CHECK(plan_transfer(slow, offer).choice == transfer_choice::recompute);
    offer.prefill_backlog = 3s;
    CHECK(plan_transfer(slow, offer).choice == transfer_choice::move);
}
