#include "gateway/opaque_exchange.hpp"

#include <algorithm>
#include <utility>

#include "log/event.hpp"

namespace dotterelstack::gateway {

using dispatch::attempt_outcome;
using dispatch::call_end;
using dispatch::call_event_result;
using dispatch::call_failed;
using dispatch::ran_claim;
using retry::evidence_kind;

namespace internal {

// Wait suggested when nothing better is known: the time in which membership changes are seen.
constexpr auto unknown_wait = std::chrono::seconds{1};
// Wait suggested after failed attempts: they end within this time mostly, and places are free.
constexpr auto failure_wait = std::chrono::milliseconds{250};
// Part of the latency objective within which an answer must be expected; the rest is for what estimates do not see.
constexpr int admission_percent = 70;
// Callers of the platform do not wait longer than this part of the time they have left.
constexpr int return_divisor = 3;
constexpr int first_server_error = 500;

/** @return True for statuses that promise that the request has not run. */
constexpr bool promises_not_run(int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** @return The fields of an answer, which asks the caller to close its connection while the gateway stops. */
http::field_list with_close(const exchange_context &context, http::field_list fields) {
    if (context.stop != shutdown_phase::none) {
        fields.push_back({"Connection", "close"});
    }
    return fields;
}

call_event_result unreachable() {
    return call_failed{{evidence_kind::never_sent}, attempt_outcome::unreachable};
}

/** @param head Of an answer which says that nothing has run. */
call_event_result rejected(const answer_head &head) {
    const auto how = head.other_server ? attempt_outcome::misdirected : attempt_outcome::full;
    return call_failed{{evidence_kind::refused_before_handover}, how};
}

} // namespace internal

retry::work_facts work_of(const traffic_route &route) noexcept {
    return {.repeatable = route.kind == work_kind::safe,
            .resumable = route.kind == work_kind::stream && route.resumable,
            .max_attempts = route.max_attempts};
}

void refuse_caller(const exchange_context &context, http::caller_port &caller, std::string_view request,
                   std::uint64_t config_version, const dispatch::refusal &why) {
    context.metrics.count("refusals_total", "reason=\"" + why.code + "\"");
    log::write("request_refused", {{"request", request},
                                   {"status", why.status},
                                   {"reason", why.code},
                                   {"config_version", config_version},
                                   {"retry_after_ms", why.retry_after ? base::to_milliseconds(*why.retry_after) : 0}});
    auto answer = dispatch::to_response(why, dispatch::seconds_form::fractional);
    answer.fields = internal::with_close(context, std::move(answer.fields));
    caller.respond(answer);
}

opaque_exchange::opaque_exchange(const exchange_context &context, dispatch::request_identity of, opaque_request request)
    : exchange{std::move(of)}, context_{context}, request_{std::move(request)} {}

dispatch::place_result opaque_exchange::place() {
    // Events without an id cannot be told apart from those of another run.
    if (started_ && !last_event_) {
        return refusal_with("not_resumable", ran_claim::unknown);
    }
    const auto &facts = request_.content.facts;
    const bool first = history().attempt() == 1;
    const auto seen = context_.places.choose({.service = identity().service,
                                              .prompt = facts.prompt,
                                              .prompt_tokens = facts.prompt_tokens,
                                              .failure_domain = context_.failure_domain,
                                              .excluded = tried_,
                                              .may_split = may_split_ && first && !started_ && !facts.last_event,
                                              .is_new = stage() == dispatch::exchange_stage::held});
    if (seen.rejection != placement_rejection::none) {
        return wait_or_refuse(seen);
    }
    // The size of a request is no reason to refuse it, or the largest ones would never be served while it is busy.
    const auto limit = identity().received + request_.route->latency_objective * internal::admission_percent / 100;
    if (first && context_.time.now() + seen.plan.typical >= limit) {
        return wait_or_refuse({{}, placement_rejection::full, seen.plan.typical});
    }
    return start(seen.plan);
}

dispatch::place_result opaque_exchange::wait_or_refuse(const placement_result &seen) const {
    const auto now = context_.time.now();
    const bool may_wait = seen.rejection != placement_rejection::excluded && now < request_.wait_until;
    if (may_wait && now + seen.free_in < identity().deadline) {
        return dispatch::wait_for_capacity{};
    }
    if (started_ || history().may_have_run()) {
        return refusal_with("no_backend", ran_claim::unknown);
    }
    const bool full = seen.rejection == placement_rejection::full;
    const auto wait = full ? seen.free_in : base::duration{internal::unknown_wait};
    return dispatch::refusal{503, full ? "busy" : "no_backend",
                             "the backend servers of the service are busy; retry later", ran_claim::no,
                             retry_after(wait)};
}

base::duration opaque_exchange::retry_after(base::duration free_in) const {
    const auto left = std::max<base::duration>(identity().deadline - context_.time.now(), base::duration{0});
    return context_.retry_after.next_retry_after(identity().service, free_in, left / internal::return_divisor);
}

dispatch::outgoing_call opaque_exchange::start(const placement_plan &plan) {
    if (history().attempt() == 1) {
        context_.retry_after.on_placed(identity().service);
    }
    prefill_tokens_ = plan.prefill_tokens;
    placed_after_ = context_.time.now() - identity().received;
    was_split_ = plan.prefill != nullptr;
    long_prompt_ = plan.has_home;
    expected_ = plan.expected;
    log::write("request_placed", {{"request", identity().id},
                                  {"service", identity().service},
                                  {"config_version", request_.config->version()},
                                  {"prefill", plan.prefill == nullptr ? "" : plan.prefill->facts.id},
                                  {"backend", plan.run->facts.id},
                                  {"outstanding", context_.table.outstanding(*plan.run)},
                                  {"expected_ms", base::to_milliseconds(plan.expected)},
                                  {"uncached", static_cast<std::uint64_t>(plan.prefill_tokens)}});
    const std::string source = plan.fetch_from == nullptr ? "" : plan.fetch_from->facts.address;
    prefilling_ = plan.prefill != nullptr;
    if (!prefilling_) {
        return call_to(*plan.run, {.fetch_from = source, .resume_after = last_event_});
    }
    decode_backend_ = plan.run->facts.id;
    return call_to(*plan.prefill, {.prefill_only = true, .fetch_from = source});
}

dispatch::outgoing_call opaque_exchange::call_to(const backend_state &target, attempt_facts facts) {
    const auto left = identity().deadline - context_.time.now();
    facts.backend = target.facts.id;
    facts.organisation = identity().organisation;
    facts.priority = request_.priority;
    facts.time_left = left;
    backend_ = target.facts.id;
    address_ = target.facts.address;
    first_event_seen_ = false;
    start_counted_ = false;
    head_ = {};
    events_ = {};
    body_.clear();
    server_answer_.reset();
    context_.table.started(backend_, prefill_tokens_);
    return {address_, context_.protocol.encode_attempt(request_.content, facts), left};
}

void opaque_exchange::on_attempt_end(attempt_outcome how) {
    if (!first_event_seen_) {
        context_.table.prefill_done(backend_, prefill_tokens_);
    }
    context_.table.ended(backend_, how);
    if (probably_began(how)) {
        count_start();
    }
    if (how == attempt_outcome::answered) {
        if (!prefilling_) {
            context_.places.on_slot_time(identity().service, context_.time.now() - attempt_started());
        }
        return;
    }
    release_state();
    tried_.push_back(backend_);
    may_split_ = may_split_ && !prefilling_;
}

bool opaque_exchange::probably_began(attempt_outcome how) const noexcept {
    if (prefilling_) {
        return false;
    }
    // An answer that is lost or late was mostly preceded by a run. A cancelled stream without an event has none.
    const bool no_answer = how == attempt_outcome::broken || how == attempt_outcome::silent;
    return no_answer || (how == attempt_outcome::cancelled && request_.route->kind != work_kind::stream);
}

void opaque_exchange::count_start() {
    if (!std::exchange(start_counted_, true)) {
        context_.starts.on_start(identity().organisation);
    }
}

void opaque_exchange::release_state() {
    if (!handle_.empty()) {
        context_.backends.post(handle_address_, context_.protocol.release_handle(handle_));
        handle_.clear();
    }
}

void opaque_exchange::read_head(int status, const http::field_list &fields) {
    head_ = context_.protocol.decode_head(status, fields, identity().id);
    if (head_.load) {
        context_.table.reported(backend_, *head_.load);
    }
}

call_event_result opaque_exchange::on_head(int status, const http::field_list &fields) {
    read_head(status, fields);
    return dispatch::call_pending{};
}

call_event_result opaque_exchange::on_data(std::string_view part) {
    if (prefilling_ || !head_.event_stream || !head_.genuine) {
        body_.append(part);
        return dispatch::call_pending{};
    }
    events_.feed(part);
    while (const auto event = events_.next()) {
        if (!deliver(*event)) {
            return dispatch::caller_disconnected{};
        }
    }
    return dispatch::call_pending{};
}

void opaque_exchange::begin_answer() {
    if (!started_) {
        started_ = true;
        identity().caller->start(head_.status, internal::with_close(context_, head_.fields));
    }
}

bool opaque_exchange::deliver(const stream_event &event) {
    const auto &of = identity();
    const auto now = context_.time.now();
    if (!first_event_seen_) {
        first_event_seen_ = true;
        context_.table.prefill_done(backend_, prefill_tokens_);
        context_.places.on_prefill_done(backend_, request_.content.facts.prompt);
        count_start();
        // The state was used up by this run.
        handle_.clear();
    }
    // A resumed run may begin with events that the caller already has.
    if (event.id && last_event_ && *event.id <= *last_event_) {
        return true;
    }
    if (last_event_at_) {
        context_.metrics.observe(metrics::timing::between_tokens, of.organisation, of.service, now - *last_event_at_);
    } else {
        first_event_after_ = now - of.received;
        if (long_prompt_ && tried_.empty()) {
            context_.places.on_first_event(was_split_, expected_, first_event_after_ - placed_after_);
        }
        context_.metrics.observe(metrics::timing::first_token, of.organisation, of.service, first_event_after_);
    }
    last_event_at_ = now;
    if (event.id) {
        last_event_ = event.id;
    }
    begin_answer();
    return of.caller->write(event.text);
}

retry::evidence opaque_exchange::unknown_outcome() const noexcept {
    return last_event_ ? retry::evidence{evidence_kind::broken_stream, *last_event_}
                       : retry::evidence{evidence_kind::unknown};
}

call_event_result opaque_exchange::on_end(call_end how, const http::response &answer) {
    if (how == call_end::not_sent || how == call_end::not_started) {
        return internal::unreachable();
    }
    const bool complete = how == call_end::complete;
    // The head of an answer with status 200 came before its body.
    if (complete && answer.status != 200) {
        read_head(answer.status, answer.fields);
    }
    if (prefilling_) {
        return after_prefill(complete, answer);
    }
    return complete ? after_answer(answer) : call_failed{unknown_outcome(), attempt_outcome::broken};
}

call_event_result opaque_exchange::after_prefill(bool complete, const http::response &answer) {
    // Reading a prompt is no run, whatever became of it.
    if (!complete) {
        return call_failed{{evidence_kind::refused_before_handover}, attempt_outcome::broken};
    }
    if (answer.status == 200) {
        auto handle = context_.protocol.decode_handle(body_.empty() ? answer.body : body_);
        if (handle && !handle.value().empty()) {
            return after_handle(std::move(handle.value()));
        }
    }
    return head_.other_server || head_.not_run
               ? internal::rejected(head_)
               : call_failed{{evidence_kind::refused_before_handover}, attempt_outcome::server_error};
}

call_event_result opaque_exchange::after_handle(std::string handle) {
    first_event_seen_ = true;
    context_.table.prefill_done(backend_, prefill_tokens_);
    context_.places.on_prefill_done(backend_, request_.content.facts.prompt);
    prefilled_after_ = context_.time.now() - identity().received;
    handle_ = std::move(handle);
    handle_address_ = address_;
    prefill_tokens_ = 0;
    const auto *decoder = context_.table.find(decode_backend_);
    if (decoder == nullptr || decoder->facts.draining) {
        // The engine has read the prompt, but its state has no use.
        return call_failed{{evidence_kind::never_sent}, attempt_outcome::cancelled};
    }
    on_attempt_end(attempt_outcome::answered);
    prefilling_ = false;
    return dispatch::follow_up_call{
        call_to(*decoder, {.state_source = context_.protocol.state_source(handle_address_, handle_)})};
}

call_event_result opaque_exchange::after_answer(const http::response &answer) {
    if (answer.status == 200) {
        if (head_.genuine && !events_.partial()) {
            return dispatch::call_complete{};
        }
        return call_failed{unknown_outcome(), attempt_outcome::broken};
    }
    if (head_.not_run) {
        return internal::rejected(head_);
    }
    const bool success = head_.status >= 200 && head_.status < 300;
    if (head_.other_request || (success && !head_.genuine)) {
        return call_failed{unknown_outcome(), attempt_outcome::broken};
    }
    count_start();
    server_answer_ = {head_.status, head_.fields, answer.body};
    if (head_.status >= internal::first_server_error) {
        return call_failed{unknown_outcome(), attempt_outcome::server_error};
    }
    return dispatch::call_complete{};
}

bool opaque_exchange::complete() {
    const auto &of = identity();
    if (server_answer_) {
        pass_on();
        return true;
    }
    context_.metrics.observe(metrics::timing::whole_request, of.organisation, of.service,
                             context_.time.now() - of.received);
    if (head_.event_stream) {
        begin_answer();
        of.caller->finish();
    } else {
        count_start();
        of.caller->respond({head_.status, internal::with_close(context_, head_.fields), body_});
    }
    finish(head_.status, "served");
    return true;
}

void opaque_exchange::pass_on() {
    if (started_) {
        identity().caller->abort();
        return finish(502, "broken_stream");
    }
    if (internal::promises_not_run(server_answer_->status)) {
        // The backend server did not say that.
        refuse_caller(context_, *identity().caller, identity().id, request_.config->version(),
                      {502, "backend_failed", "the backend server failed; check its records", ran_claim::unknown});
        return finish(502, "backend_failed");
    }
    identity().caller->respond(
        {server_answer_->status, internal::with_close(context_, server_answer_->fields), server_answer_->body});
    finish(server_answer_->status, "passed_on");
}

void opaque_exchange::refuse(const dispatch::refusal &why) {
    auto &caller = *identity().caller;
    if (started_ || why.abort_connection) {
        caller.abort();
    } else if (server_answer_) {
        return pass_on();
    } else {
        refuse_caller(context_, caller, identity().id, request_.config->version(), why);
    }
    finish(why.status, why.code);
}

dispatch::refusal opaque_exchange::refusal_for(dispatch::end_reason why, ran_claim ran) const {
    if (why == dispatch::end_reason::caller_gone) {
        return {.status = 499,
                .code = std::string{to_string(why)},
                .message = "the caller closed the connection",
                .ran = ran,
                .abort_connection = true};
    }
    return refusal_with(to_string(why), ran);
}

dispatch::refusal opaque_exchange::refusal_with(std::string_view code, ran_claim ran) const {
    if (ran == ran_claim::unknown) {
        const bool late = context_.time.now() >= identity().deadline;
        return {late ? 504 : 502, std::string{code},
                "it is not known whether the request ran; check before repeating it", ran};
    }
    return {503, std::string{code}, "the request has not run; retry later", ran, retry_after(internal::failure_wait)};
}

bool opaque_exchange::ends_with_caller() const noexcept {
    // Work that may not be repeated is left to finish: its outcome is worth more than the place.
    return stage() != dispatch::exchange_stage::calling || request_.route->kind != work_kind::unsafe;
}

void opaque_exchange::finish(int status, std::string_view code) {
    release_state();
    const auto &of = identity();
    context_.metrics.count("requests_total", "service=\"" + of.service + "\",outcome=\"" + std::string{code} + "\"");
    log::write("request_finished", {{"request", of.id},
                                    {"route", request_.route->name},
                                    {"organisation", of.organisation},
                                    {"status", status},
                                    {"outcome", code},
                                    {"backend", backend_},
                                    {"attempts", history().attempt()},
                                    {"placed_ms", base::to_milliseconds(placed_after_)},
                                    {"prefilled_ms", base::to_milliseconds(prefilled_after_)},
                                    {"first_event_ms", base::to_milliseconds(first_event_after_)},
                                    {"total_ms", base::to_milliseconds(context_.time.now() - of.received)}});
}

} // namespace dotterelstack::gateway
