#include "entry/completion_exchange.hpp"

#include <utility>
#include <variant>

#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

const http::field_list event_stream{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};

} // namespace internal

completion_exchange::completion_exchange(const exchange_context &context, dispatch::request_identity ident,
                                         caller_request parsed, std::string key_hash, std::int64_t created)
    : agent_exchange{context, std::move(ident), std::move(parsed), std::move(key_hash)},
      assembler_{identity().id}, format_{identity().id, request(), created}, prompt_tokens_{request().prompt_tokens} {}

void completion_exchange::begin_attempt(std::uint32_t attempt) {
    line_rest_.clear();
    assembler_.begin_attempt(attempt);
}

void completion_exchange::add_fields(http::field_list &fields) const {
    fields.push_back({"ds-kind", "completion"});
    fields.push_back({"ds-offset", std::to_string(assembler_.next_offset())});
}

dispatch::call_event_result completion_exchange::on_data(std::string_view part) {
    if (was_refused()) {
        return dispatch::call_pending{};
    }
    line_rest_.append(part);
    for (auto end = line_rest_.find('\n'); end != std::string::npos; end = line_rest_.find('\n')) {
        const std::string line = line_rest_.substr(0, end);
        line_rest_.erase(0, end + 1);
        auto step = process_line(line);
        if (!std::holds_alternative<dispatch::call_pending>(step)) {
            return step;
        }
    }
    return dispatch::call_pending{};
}

dispatch::call_event_result completion_exchange::process_line(std::string_view line) {
    const auto message = answer::decode_line(line);
    if (!message) {
        return dispatch::call_pending{};
    }
    auto action = answer::assembler_action::ignore;
    if (const auto *part = std::get_if<answer::chunk>(&message.value())) {
        action = assembler_.accept(*part);
        if (action == answer::assembler_action::deliver) {
            return deliver(*part) ? dispatch::call_event_result{dispatch::call_pending{}}
                                  : dispatch::caller_disconnected{};
        }
    } else {
        const auto &end = std::get<answer::chunk_end>(message.value());
        action = assembler_.accept(end);
        if (action == answer::assembler_action::complete) {
            prompt_tokens_ = end.prompt_tokens;
            finish_reason_ = end.finish_reason;
            return dispatch::call_complete{};
        }
    }
    if (action == answer::assembler_action::resume) {
        return failure(dispatch::call_end::broken);
    }
    log::write("response_mismatch", {{"request", identity().id}, {"backend", backend()}});
    return dispatch::call_pending{};
}

bool completion_exchange::deliver(const answer::chunk &part) {
    const auto &ident = identity();
    const auto now = context().time.now();
    if (last_token_) {
        context().metrics.observe(metrics::timing::between_tokens, ident.organisation, ident.service,
                                  now - *last_token_);
    } else {
        context().metrics.observe(metrics::timing::first_token, ident.organisation, ident.service,
                                  now - ident.received);
        on_progress();
    }
    last_token_ = now;
    context().admission.add_served_tokens(ident.id, assembler_.next_offset() == 1 ? request().prompt_tokens : 0, 1);
    if (!request().stream) {
        text_ += part.text;
        return true;
    }
    if (!started_) {
        started_ = true;
        ident.caller->start(200, internal::event_stream);
    }
    return ident.caller->write(format_.token_event(part.text));
}

dispatch::call_event_result completion_exchange::on_end(dispatch::call_end how, const http::response & /*answer*/) {
    return failure(how);
}

void completion_exchange::send_response() {
    auto &caller = *identity().caller;
    const token_usage token_counts{prompt_tokens_, assembler_.next_offset()};
    if (!request().stream) {
        return caller.respond(
            {200, {{"Content-Type", "application/json"}}, format_.full_response(text_, finish_reason_, token_counts)});
    }
    if (!started_) {
        started_ = true;
        caller.start(200, internal::event_stream);
    }
    (void)caller.write(format_.end_events(finish_reason_, token_counts));
    caller.finish();
}

} // namespace dotterelstack::entry
