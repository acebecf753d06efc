#include <charconv>

#include "entry/dispatcher.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

constexpr auto give_up_delay = std::chrono::seconds{2};

const http::field_list event_stream{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};

std::string attempt_key(const flow &it) {
    return it.id + "/" + std::to_string(it.attempt);
}

std::uint64_t to_number(std::string_view text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace internal

routing::route_request dispatcher::route_of(const flow &it) const {
    const bool call = it.request.kind == request_kind::call;
    return {.service = it.service,
            .model = call ? std::string_view{} : std::string_view{it.request.model},
            .prefix_blocks = it.prefix_blocks,
            .prompt_tokens = static_cast<std::uint32_t>(it.request.prompt_tokens),
            .max_tokens = static_cast<std::uint32_t>(it.request.max_tokens),
            .failure_domain = settings_.failure_domain,
            .excluded = it.excluded};
}

http::request dispatcher::run_message(const flow &it) const {
    http::request out;
    out.method = "POST";
    out.target = "/run";
    out.body = it.request.body;
    const bool call = it.request.kind == request_kind::call;
    out.fields = {{"ds-request", it.id},
                  {"ds-attempt", std::to_string(it.attempt)},
                  {"ds-incarnation", it.incarnation},
                  {"ds-backend", it.backend},
                  {"ds-service", it.service},
                  {"ds-organisation", it.organisation},
                  {"ds-priority", std::to_string(it.request.priority)},
                  {"ds-kind", call ? "call" : "completion"},
                  {"ds-path", it.request.path}};
    if (call) {
        out.fields.push_back({"ds-method", it.request.method});
        out.fields.push_back({"ds-content-type", it.request.content_type});
    } else {
        out.fields.push_back({"ds-offset", std::to_string(it.assembly.next_offset())});
    }
    return out;
}

void dispatcher::start_attempt(flow &it) {
    if (with_.time.now() >= it.run_before) {
        return give_up(it, {503, "claim_too_old", "the request waited too long after its claim; repeat it",
                            ran_claim::no, internal::give_up_delay});
    }
    const auto request = route_of(it);
    const auto chosen = router_.choose(request);
    if (!chosen) {
        log::write("no_backend", {{"service", it.service}, {"request", it.id}});
        const auto why = routing::to_error(chosen.error());
        return give_up(it, {503, why.code, why.message, claim_of(it), internal::give_up_delay});
    }
    const auto &backend = *chosen.value().backend;
    ++it.attempt;
    it.stage = flow_stage::running;
    it.backend = backend.name;
    it.agent_address = backend.agent_address;
    it.incarnation = backend.incarnation;
    it.refused = false;
    it.line_rest.clear();
    it.answer = {};
    it.assembly.begin_attempt(it.attempt);
    it.call = next_call_++;
    calls_.emplace(it.call, it.id);
    router_.started(internal::attempt_key(it), it.backend, request);
    with_.agents.run(it.call, it.agent_address, run_message(it));
}

void dispatcher::on_head(call_id call, int status, const http::field_list &fields) {
    auto *it = find_call(call);
    if (it == nullptr) {
        return;
    }
    if (status != 200) {
        it->refused = http::find_field(fields, "ds-ran") == "no";
        it->refusal_status = status;
        return;
    }
    if (it->request.kind == request_kind::call) {
        it->answer.status = static_cast<int>(internal::to_number(http::find_field(fields, "ds-status").value_or("0")));
        it->answer.content_type = http::find_field(fields, "ds-content-type").value_or("");
        it->answer.total = internal::to_number(http::find_field(fields, "ds-total").value_or("0"));
    }
}

void dispatcher::on_data(call_id call, std::string_view part) {
    auto *it = find_call(call);
    if (it == nullptr) {
        return;
    }
    if (it->request.kind == request_kind::call) {
        it->answer.body.append(part);
        return;
    }
    if (it->refusal_status != 0 && it->refused) {
        return;
    }
    it->line_rest.append(part);
    for (auto end = it->line_rest.find('\n'); end != std::string::npos; end = it->line_rest.find('\n')) {
        const std::string line = it->line_rest.substr(0, end);
        it->line_rest.erase(0, end + 1);
        take_line(*it, line);
        // The line may have ended the attempt or the whole request.
        it = find_call(call);
        if (it == nullptr || it->stage != flow_stage::running) {
            return;
        }
    }
}

void dispatcher::take_line(flow &it, std::string_view line) {
    const auto message = answer::decode_line(line);
    if (!message) {
        return;
    }
    auto action = answer::assembly_action::ignore;
    if (const auto *part = std::get_if<answer::chunk>(&message.value())) {
        action = it.assembly.accept(*part);
        if (action == answer::assembly_action::deliver) {
            return deliver(it, *part);
        }
    } else {
        const auto &end = std::get<answer::chunk_end>(message.value());
        action = it.assembly.accept(end);
        if (action == answer::assembly_action::complete) {
            it.prompt_tokens = end.prompt_tokens;
            it.finish_reason = end.finish_reason;
            return complete(it);
        }
    }
    if (action == answer::assembly_action::resume) {
        with_.agents.reset(it.call);
        after_failure(it, call_end::broken);
    } else {
        log::write("response_mismatch", {{"request", it.id}, {"backend", it.backend}});
    }
}

void dispatcher::deliver(flow &it, const answer::chunk &part) {
    const auto now = with_.time.now();
    if (it.last_token) {
        with_.metrics.observe(metrics::timing::between_tokens, it.organisation, it.service, now - *it.last_token);
    } else {
        with_.metrics.observe(metrics::timing::first_token, it.organisation, it.service, now - it.received);
        router_.progress(internal::attempt_key(it));
    }
    it.last_token = now;
    admission_.add_served_tokens(it.id, it.assembly.next_offset() == 1 ? it.request.prompt_tokens : 0, 1);
    if (!it.request.stream) {
        it.text += part.text;
        return;
    }
    if (!it.started) {
        it.started = true;
        it.caller->start(200, internal::event_stream);
    }
    if (!it.caller->write(it.format.token_event(part.text))) {
        give_up(it, {499, "caller_gone", "the caller closed the connection or reads too slowly", ran_claim::unknown});
    }
}

void dispatcher::on_end(call_id call, call_end how) {
    auto *it = find_call(call);
    calls_.erase(call);
    if (it == nullptr || it->call != call || it->stage != flow_stage::running) {
        return;
    }
    const bool answered = how == call_end::complete && it->refusal_status == 0 && it->answer.status != 0 &&
                          it->answer.body.size() == it->answer.total;
    if (it->request.kind == request_kind::call && answered) {
        return complete(*it);
    }
    after_failure(*it, how);
}

void dispatcher::after_failure(flow &it, call_end how) {
    const bool never_sent = how == call_end::not_sent || how == call_end::not_started;
    const bool refused = it.refused;
    end_attempt(it, refused ? routing::outcome::rejected : routing::outcome::failed);
    calls_.erase(it.call);
    it.stage = flow_stage::between;
    it.refusal_status = 0;
    it.refused = false;
    it.excluded.push_back(it.backend);
    if (refused || never_sent) {
        return retry_or_give_up(it, refused ? retry::evidence_kind::refused_before_handover
                                            : retry::evidence_kind::never_sent);
    }
    if (it.repeatable) {
        const bool begun = it.assembly.next_offset() > 0;
        return retry_or_give_up(it, begun ? retry::evidence_kind::broken_stream : retry::evidence_kind::unknown);
    }
    // Only the agent can tell whether work that must not be repeated was handed over.
    probe(it);
}

void dispatcher::probe(flow &it) {
    it.stage = flow_stage::probing;
    probes_[it.id] = with_.time.now() + settings_.probe_timeout;
    with_.agents.cancel(it.agent_address, it.id, it.incarnation);
}

void dispatcher::on_cancel_outcome(std::string_view request, std::string_view outcome) {
    if (const auto it = probes_.find(request); it != probes_.end()) {
        probes_.erase(it);
    }
    auto *it = find_flow(request);
    if (it == nullptr || it->stage != flow_stage::probing) {
        return;
    }
    it->stage = flow_stage::between;
    if (outcome == "never_starts") {
        return retry_or_give_up(*it, retry::evidence_kind::never_starts);
    }
    log::write("outcome_unknown", {{"request", it->id}, {"service", it->service}, {"backend", it->backend}});
    retry_or_give_up(*it, retry::evidence_kind::unknown);
}

void dispatcher::retry_or_give_up(flow &it, retry::evidence_kind seen) {
    const auto next = retries_.decide(it.history, {seen, it.assembly.next_offset()});
    const bool again =
        next.action == retry::retry_action::retry_elsewhere || next.action == retry::retry_action::resume_elsewhere;
    if (again && !it.caller->gone()) {
        with_.metrics.count("retries_total", "service=\"" + it.service + "\"");
        if (next.action == retry::retry_action::resume_elsewhere) {
            log::write("request_resumed", {{"request", it.id}, {"service", it.service}, {"offset", next.offset}});
        }
        if (next.delay <= base::duration{0}) {
            return start_attempt(it);
        }
        it.stage = flow_stage::delayed;
        it.retry_at = with_.time.now() + next.delay;
        return;
    }
    log::write("request_given_up", {{"request", it.id}, {"service", it.service}, {"attempts", it.attempt}});
    if (next.reason == retry::give_up_reason::not_repeatable) {
        return give_up(it,
                       {502, "outcome_unknown",
                        "the call may have run; check the service's records before repeating it", ran_claim::unknown});
    }
    const bool budget = next.reason == retry::give_up_reason::organisation_budget ||
                        next.reason == retry::give_up_reason::service_budget;
    if (budget) {
        log::write("retry_budget_empty", {{"service", it.service}, {"organisation", it.organisation}});
    }
    give_up(it, {503, budget ? "retry_budget" : "attempts_exhausted", "several backend servers failed; retry later",
                 next.ran == retry::ran_state::no ? ran_claim::no : ran_claim::unknown, internal::give_up_delay});
}

ran_claim dispatcher::claim_of(const flow &it) noexcept {
    return it.history.may_have_run() ? ran_claim::unknown : ran_claim::no;
}

void dispatcher::end_attempt(flow &it, routing::outcome how) {
    router_.finished(internal::attempt_key(it), it.backend, how);
}

void dispatcher::complete(flow &it) {
    end_attempt(it, routing::outcome::completed);
    it.stage = flow_stage::holding;
    if (it.claimed) {
        with_.claims.finish(it.id, {it.answer.status, it.answer.content_type, it.answer.body, true});
        it.claimed = false;
    }
    with_.usage.record({.request = it.id,
                        .organisation = it.organisation,
                        .service = it.service,
                        .prompt_tokens = it.prompt_tokens,
                        .generated_tokens = it.assembly.next_offset()});
}

void dispatcher::on_usage_held(std::string_view request) {
    auto *it = find_flow(request);
    if (it != nullptr && it->stage == flow_stage::holding) {
        release_answer(*it);
    }
}

void dispatcher::release_answer(flow &it) {
    with_.metrics.observe(metrics::timing::whole_request, it.organisation, it.service, with_.time.now() - it.received);
    with_.metrics.count("requests_total", "organisation=\"" + it.organisation + "\",service=\"" + it.service + "\"");
    const token_usage usage{it.prompt_tokens, it.assembly.next_offset()};
    if (it.request.kind == request_kind::call) {
        it.caller->respond({it.answer.status, {{"Content-Type", it.answer.content_type}}, it.answer.body});
    } else if (it.request.stream) {
        if (!it.started) {
            it.caller->start(200, internal::event_stream);
        }
        (void)it.caller->write(it.format.end_events(it.finish_reason, usage));
        it.caller->finish();
    } else {
        it.caller->respond(
            {200, {{"Content-Type", "application/json"}}, it.format.whole(it.text, it.finish_reason, usage)});
    }
    erase(it.id);
}

void dispatcher::give_up(flow &it, refusal_answer answer) {
    if (it.stage == flow_stage::running) {
        end_attempt(it, routing::outcome::cancelled);
        with_.agents.reset(it.call);
        calls_.erase(it.call);
    }
    // An attempt under way, or one whose fate the agent has not told yet, may run even after a reset.
    if (it.stage == flow_stage::running || it.stage == flow_stage::probing) {
        answer.ran = ran_claim::unknown;
    }
    if (it.claimed) {
        if (answer.ran == ran_claim::no) {
            with_.claims.finish_not_run(it.id);
        } else {
            with_.claims.finish_unknown(it.id);
        }
    }
    with_.metrics.count("refusals_total", "reason=\"" + answer.code + "\",service=\"" + it.service + "\"");
    if (it.started) {
        // The head has gone out: name the reason in the stream and leave it visibly incomplete.
        (void)it.caller->write("event: error\ndata: " + error_body(answer) + "\n\n");
        it.caller->abort();
    } else {
        it.caller->respond(to_response(answer));
    }
    // Tokens that were generated for a broken response are still owed.
    if (it.assembly.next_offset() > 0) {
        with_.usage.record({.request = it.id,
                            .organisation = it.organisation,
                            .service = it.service,
                            .prompt_tokens = it.prompt_tokens,
                            .generated_tokens = it.assembly.next_offset()});
    }
    erase(it.id);
}

void dispatcher::erase(const std::string &id) {
    // The id may belong to the flow that is erased.
    auto node = flows_.extract(id);
    if (node.empty()) {
        return;
    }
    (void)admission_.cancel(node.key());
    probes_.erase(node.key());
}

} // namespace dotterelstack::entry
