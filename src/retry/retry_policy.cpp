#include "retry/retry_policy.hpp"

#include <algorithm>
#include <utility>

namespace dotterelstack::retry {

namespace {

constexpr bool proves_not_run(evidence_kind kind) noexcept {
    return kind == evidence_kind::never_sent || kind == evidence_kind::refused_before_handover ||
           kind == evidence_kind::never_starts;
}

} // namespace

std::string_view to_string(evidence_kind kind) noexcept {
    switch (kind) {
    case evidence_kind::never_sent:
        return "never_sent";
    case evidence_kind::refused_before_handover:
        return "refused";
    case evidence_kind::never_starts:
        return "never_starts";
    case evidence_kind::unknown:
        return "unknown";
    case evidence_kind::answered:
        return "answered";
    case evidence_kind::broken_stream:
        break;
    }
    return "broken_stream";
}

retry_policy::retry_policy(const base::clock &clock, budget &budget, random_source random, policy_options options)
    : clock_{clock}, budget_{budget}, random_{std::move(random)}, options_{options} {}

request_history retry_policy::begin(work_facts work, std::string_view organisation, std::string_view service,
                                    base::instant deadline, unsigned received_attempt) {
    request_history out;
    out.work_ = work;
    out.organisation_ = organisation;
    out.service_ = service;
    out.deadline_ = deadline;
    out.sender_retries_ = received_attempt > 0;
    budget_.record_request(organisation, service);
    return out;
}

retry_decision retry_policy::give_up(request_history &request, give_up_reason reason) noexcept {
    request.decided_ = true;
    retry_decision out;
    out.reason = reason;
    out.ran = request.may_have_run_ ? ran_state::unknown : ran_state::no;
    if (request.work_.idempotency_key) {
        out.claim = request.may_have_run_ ? claim_action::store_unknown : claim_action::release;
    }
    return out;
}

give_up_reason retry_policy::reason_to_give_up(const request_history &request, base::duration delay,
                                               bool counts_as_attempt, bool charged) {
    const bool repeatable = request.work_.repeatable || request.work_.resumable;
    if (request.may_have_run_ && !repeatable) {
        return give_up_reason::not_repeatable;
    }
    if (request.offset_ > 0 && !request.work_.resumable) {
        return give_up_reason::not_resumable;
    }
    if (request.sender_retries_) {
        return give_up_reason::sender_retries;
    }
    const auto limit = request.work_.max_attempts == 0 ? options_.max_attempts : request.work_.max_attempts;
    if (counts_as_attempt && request.attempt_ >= limit) {
        return give_up_reason::attempts;
    }
    if (clock_.now() + delay >= request.deadline_) {
        return give_up_reason::deadline;
    }
    const auto verdict =
        charged ? budget_.try_acquire(request.organisation_, request.service_) : budget_verdict::granted;
    if (verdict == budget_verdict::organisation_exhausted) {
        return give_up_reason::organisation_budget;
    }
    return verdict == budget_verdict::service_exhausted ? give_up_reason::service_budget : give_up_reason::none;
}

retry_decision retry_policy::decide(request_history &request, const evidence &seen) {
    if (request.decided_) {
        return give_up(request, give_up_reason::none);
    }
    request.may_have_run_ = request.may_have_run_ || !proves_not_run(seen.kind);
    if (seen.kind == evidence_kind::answered) {
        request.decided_ = true;
        retry_decision out;
        out.action = retry_action::deliver;
        out.claim = request.work_.idempotency_key ? claim_action::store_answer : claim_action::none;
        return out;
    }
    // A resume after new tokens continues work that was already admitted, and an attempt that never started put no load
    // on a backend server. Neither multiplies the load, so only the number of attempts limits them.
    const bool progress = seen.kind == evidence_kind::broken_stream && seen.offset > request.offset_;
    const bool sent = seen.kind != evidence_kind::never_sent;
    const bool charged = options_.charge_sent_attempts ? sent : !progress && !proves_not_run(seen.kind);
    const bool counts_as_attempt = sent || options_.count_unsent_attempts;
    if (seen.kind == evidence_kind::broken_stream) {
        request.offset_ = std::max(request.offset_, seen.offset);
    }
    const auto doublings = std::min(request.attempt_ - 1, 16U);
    const auto delay_bound = std::min(options_.max_delay, options_.initial_delay * (1U << doublings));
    const auto delay =
        base::duration{static_cast<base::duration::rep>(static_cast<double>(delay_bound.count()) * random_())};
    const auto reason = reason_to_give_up(request, delay, counts_as_attempt, charged);
    if (reason != give_up_reason::none) {
        return give_up(request, reason);
    }
    retry_decision out;
    out.action = request.offset_ > 0 ? retry_action::resume_elsewhere : retry_action::retry_elsewhere;
    out.offset = request.offset_;
    out.delay = delay;
    request.attempt_ += counts_as_attempt ? 1 : 0;
    out.attempt = request.attempt_;
    return out;
}

} // namespace dotterelstack::retry
