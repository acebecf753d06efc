#include "retry/retry_policy.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

#include "retry/retry_budget.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::retry;

namespace {

constexpr work_facts completion{true, true, false};
constexpr work_facts lookup{true, false, false};
constexpr work_facts booking{false, false, false};
constexpr work_facts keyed_booking{false, false, true};

struct fixture {
    explicit fixture(budget_options options = {}, double random = 0.5)
        : budget{clock, options}, policy{clock, budget, [random] { return random; }} {}
    request_history begin(work_facts work, unsigned received = 0) {
        return policy.begin(work, "large", "booking", clock.now() + 10s, received);
    }
    manual_clock clock;
    retry_budget budget;
    retry_policy policy;
};

} // namespace

// Guards against a stream that restarts at the beginning, or loses its offset when a later attempt fails early.
TEST_CASE("a broken completion resumes at the first missing offset") {
    fixture it{{.minimum_per_second = 100}};
    auto request = it.begin(completion);
    auto out = it.policy.decide(request, {evidence_kind::broken_stream, 17});
    CHECK(out.action == retry_action::resume_elsewhere);
    CHECK(out.offset == 17);
    CHECK(out.attempt == 2);
    out = it.policy.decide(request, {evidence_kind::never_sent});
    CHECK(out.action == retry_action::resume_elsewhere);
    CHECK(out.offset == 17);
    CHECK(it.policy.decide(request, {evidence_kind::answered}).action == retry_action::deliver);
}

// Guards against joining parts of two different responses: a plain response cannot be continued.
TEST_CASE("a partly delivered plain response is not repeated") {
    fixture it;
    auto request = it.begin(lookup);
    const auto out = it.policy.decide(request, {evidence_kind::broken_stream, 5});
    CHECK(out.action == retry_action::give_up);
    CHECK(out.reason == give_up_reason::not_resumable);
    CHECK(out.ran == ran_state::unknown);
}

// Guards against a claim that blocks a booking that never ran, or allows the repetition of one that may have run.
TEST_CASE("the claim follows the evidence") {
    fixture it{{.minimum_per_second = 0.0}};
    auto first = it.begin(keyed_booking, 1);
    CHECK(it.policy.decide(first, {evidence_kind::refused_before_handover}).claim == claim_action::release);
    auto second = it.begin(keyed_booking);
    const auto unknown = it.policy.decide(second, {evidence_kind::unknown});
    CHECK(unknown.claim == claim_action::store_unknown);
    CHECK(unknown.reason == give_up_reason::not_repeatable);
    auto third = it.begin(keyed_booking);
    CHECK(it.policy.decide(third, {evidence_kind::answered}).claim == claim_action::store_answer);
}

// Guards against retries that multiply because several processes in a row retry the same request.
TEST_CASE("a process that received an attempt number does not retry") {
    fixture it;
    auto request = it.begin(completion, 1);
    const auto out = it.policy.decide(request, {evidence_kind::never_sent});
    CHECK(out.reason == give_up_reason::sender_retries);
    CHECK(out.ran == ran_state::no);
}

// Guards against a retry after the deadline, and against a caller that waits for a retry that will not happen.
TEST_CASE("no retry starts at or after the deadline") {
    fixture it{{}, 0.999};
    auto request = it.policy.begin(completion, "large", "booking", it.clock.now() + 5ms);
    const auto out = it.policy.decide(request, {evidence_kind::never_sent});
    CHECK(out.reason == give_up_reason::deadline);
    CHECK(out.delay == 0ns);
    auto late = it.begin(completion);
    it.clock.advance(10s);
    CHECK(it.policy.decide(late, {evidence_kind::never_sent}).reason == give_up_reason::deadline);
}

// Guards against clients that retry at the same time, and against delays above their upper bound.
TEST_CASE("delays are random below an upper bound that doubles") {
    fixture it{{.minimum_per_second = 100}, 0.5};
    auto request = it.begin(completion);
    CHECK(it.policy.decide(request, {evidence_kind::unknown}).delay == 5ms);
    CHECK(it.policy.decide(request, {evidence_kind::unknown}).delay == 10ms);
    CHECK(it.policy.decide(request, {evidence_kind::unknown}).delay == 20ms);
    CHECK(it.policy.decide(request, {evidence_kind::unknown}).reason == give_up_reason::attempts);
    CHECK(it.policy.decide(request, {evidence_kind::unknown}).action == retry_action::give_up);
}

namespace {

/** @brief What happened at the backend server, and the evidence that the entry receives. */
struct outcome {
    evidence seen;
    bool handed_over{false};
};

constexpr std::array<outcome, 9> outcomes{{{{evidence_kind::never_sent}, false},
                                           {{evidence_kind::refused_before_handover}, false},
                                           {{evidence_kind::never_starts}, false},
                                           {{evidence_kind::unknown}, false},
                                           {{evidence_kind::unknown}, true},
                                           {{evidence_kind::answered}, true},
                                           {{evidence_kind::broken_stream, 0}, true},
                                           {{evidence_kind::broken_stream, 3}, true},
                                           {{evidence_kind::broken_stream, 7}, true}}};

struct circumstances {
    work_facts work;
    bool budget{false};
    unsigned received_attempt{0};
    std::size_t late_from{0}; /**< Attempt before which the deadline passes. */
};

struct counts {
    int sequences{0};
    int not_run{0};
    int repeated{0};
};

/**
 * @brief Replays one sequence of outcomes and checks every decision against what happened.
 * @return Number of outcomes up to the final decision.
 */
std::size_t replay(const circumstances &at, const std::vector<std::size_t> &sequence, counts &sums) {
    fixture it{{.ratio = 0, .minimum_per_second = at.budget ? 100.0 : 0.0}};
    auto request = it.begin(at.work, at.received_attempt);
    int handed_over = 0;
    std::uint64_t delivered = 0;
    ++sums.sequences;
    std::size_t n = 0;
    for (; n < sequence.size(); ++n) {
        if (n == at.late_from) {
            it.clock.advance(10s);
        }
        const auto &[seen, handed] = outcomes[sequence[n]];
        handed_over += handed ? 1 : 0;
        REQUIRE((at.work.repeatable || handed_over <= 1));
        const bool progress = seen.kind == evidence_kind::broken_stream && seen.offset > delivered;
        delivered = std::max(delivered, seen.offset);
        const auto out = it.policy.decide(request, seen);
        if (out.action == retry_action::deliver) {
            REQUIRE(seen.kind == evidence_kind::answered);
            REQUIRE(it.policy.decide(request, {evidence_kind::never_sent}).action == retry_action::give_up);
            return n + 1;
        }
        REQUIRE(seen.kind != evidence_kind::answered);
        if (out.action == retry_action::give_up) {
            REQUIRE((out.ran == ran_state::unknown || handed_over == 0));
            REQUIRE((out.claim != claim_action::release || handed_over == 0));
            REQUIRE((at.work.idempotency_key || out.claim == claim_action::none));
            sums.not_run += out.ran == ran_state::no ? 1 : 0;
            // Evidence that arrives after the caller has been answered does not start an attempt.
            REQUIRE(it.policy.decide(request, {evidence_kind::never_sent}).action == retry_action::give_up);
            return n + 1;
        }
        REQUIRE(n < at.late_from);
        REQUIRE(at.received_attempt == 0);
        const bool unstarted = seen.kind == evidence_kind::never_sent ||
                               seen.kind == evidence_kind::refused_before_handover ||
                               seen.kind == evidence_kind::never_starts;
        REQUIRE((at.budget || unstarted || progress));
        REQUIRE(out.offset == delivered);
        REQUIRE((out.action == retry_action::resume_elsewhere) == (delivered > 0));
        REQUIRE((delivered == 0 || at.work.resumable));
        REQUIRE(out.attempt == n + 2);
        REQUIRE(out.attempt <= policy_options{}.max_attempts);
        sums.repeated += handed_over > 0 ? 1 : 0;
    }
    return n;
}

} // namespace

// Guards against non-repeatable work that is handed over twice, and against "not run" without evidence: every sequence
// of five outcomes is replayed for each kind of work, with and without budget, received attempt and passed deadline.
TEST_CASE("exhaustive: at most one hand-over, and not run only with evidence") {
    counts sums;
    constexpr std::size_t depth = 5;
    for (const auto &work : {completion, lookup, booking, keyed_booking}) {
        for (const bool budget : {false, true}) {
            for (const unsigned received : {0U, 1U}) {
                for (const std::size_t late_from : {std::size_t{0}, std::size_t{2}, depth}) {
                    std::vector<std::size_t> sequence(depth, 0);
                    for (bool more = true; more;) {
                        // Advance to the next sequence that differs before the final decision.
                        auto length = replay({work, budget, received, late_from}, sequence, sums);
                        std::fill(sequence.begin() + static_cast<std::ptrdiff_t>(length), sequence.end(), 0);
                        while (length > 0 && ++sequence[length - 1] == outcomes.size()) {
                            sequence[--length] = 0;
                        }
                        more = length > 0;
                    }
                }
            }
        }
    }
    // The sequences must contain both cases.
    CHECK(sums.sequences >= 9 * 8 * 8 * 8);
    CHECK(sums.not_run > 0);
    CHECK(sums.repeated > 0);
}
