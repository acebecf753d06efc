#include "entry/agent_exchange.hpp"

#include <utility>

#include "base/id.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using dispatch::attempt_outcome;
using dispatch::end_reason;
using dispatch::ran_claim;
using retry::evidence_kind;

namespace internal {

// Retry-After of refusals for which there is no better estimate.
constexpr auto suggested_retry_delay = std::chrono::seconds{2};
// Tokens per block of a prompt for prefix hashes; engines cache prefixes block by block.
constexpr std::uint32_t block_tokens = 1000;

std::vector<std::uint64_t> prefix_blocks_of(const caller_request &request) {
    return request.kind == request_kind::call ? std::vector<std::uint64_t>{}
                                              : prefix_hashes(request.model, request.prompt, block_tokens);
}

routing::outcome to_routing_outcome(attempt_outcome how) noexcept {
    switch (how) {
    case attempt_outcome::answered:
        return routing::outcome::completed;
    case attempt_outcome::full:
        return routing::outcome::rejected;
    case attempt_outcome::silent:
    case attempt_outcome::cancelled:
        return routing::outcome::cancelled;
    case attempt_outcome::server_error:
    case attempt_outcome::misdirected:
    case attempt_outcome::unreachable:
    case attempt_outcome::broken:
        break;
    }
    return routing::outcome::failed;
}

} // namespace internal

agent_exchange::agent_exchange(const exchange_context &context, dispatch::request_identity ident,
                               caller_request request, std::string key_hash)
    : exchange{std::move(ident)}, context_{context}, request_{std::move(request)}, key_hash_{std::move(key_hash)},
      prefix_blocks_{internal::prefix_blocks_of(request_)} {}

agent_exchange::~agent_exchange() {
    (void)context_.admission.cancel(identity().id);
    context_.index.erase(identity().id);
}

std::string agent_exchange::attempt_key() const {
    return identity().id + "/" + std::to_string(history().attempt());
}

routing::route_request agent_exchange::route() const {
    const bool call = request_.kind == request_kind::call;
    return {.service = identity().service,
            .model = call ? std::string_view{} : std::string_view{request_.model},
            .prefix_blocks = prefix_blocks_,
            .prompt_tokens = static_cast<std::uint32_t>(request_.prompt_tokens),
            .max_tokens = static_cast<std::uint32_t>(request_.max_tokens),
            .failure_domain = context_.failure_domain,
            .excluded = excluded_};
}

http::request agent_exchange::run_message() const {
    http::request out;
    out.method = "POST";
    out.target = "/run";
    out.body = request_.body;
    out.fields = {{"ds-request", identity().id},
                  {"ds-attempt", std::to_string(history().attempt())},
                  {"ds-incarnation", incarnation_},
                  {"ds-backend", backend_},
                  {"ds-service", identity().service},
                  {"ds-organisation", identity().organisation},
                  {"ds-priority", std::to_string(request_.priority)},
                  {"ds-path", request_.path}};
    add_fields(out.fields);
    return out;
}

dispatch::place_result agent_exchange::place() {
    if (context_.time.now() >= run_before_) {
        return dispatch::refusal{503, "claim_too_old", "the request waited too long after its claim; repeat it",
                                 ran_claim::no, internal::suggested_retry_delay};
    }
    const auto request = route();
    const auto chosen = context_.router.choose(request);
    if (!chosen) {
        log::write("no_backend", {{"service", identity().service}, {"request", identity().id}});
        const auto why = routing::to_error(chosen.error());
        return dispatch::refusal{503, why.code, why.message, ran_claim_of(*this), internal::suggested_retry_delay};
    }
    const auto &target = *chosen.value().backend;
    backend_ = target.name;
    agent_address_ = target.agent_address;
    incarnation_ = target.incarnation;
    refused_ = false;
    refusal_status_ = 0;
    begin_attempt(history().attempt());
    context_.router.started(attempt_key(), backend_, request);
    return dispatch::outgoing_call{agent_address_, run_message()};
}

dispatch::call_event_result agent_exchange::on_head(int status, const http::field_list &fields) {
    if (status == 200) {
        on_response_head(fields);
    } else {
        refused_ = http::find_field(fields, "ds-ran") == "no";
        refusal_status_ = status;
    }
    return dispatch::call_pending{};
}

dispatch::call_event_result agent_exchange::failure(dispatch::call_end how) const {
    if (refused_) {
        return dispatch::call_failed{{evidence_kind::refused_before_handover, generated_tokens()},
                                     attempt_outcome::full};
    }
    if (how == dispatch::call_end::not_sent || how == dispatch::call_end::not_started) {
        return dispatch::call_failed{{evidence_kind::never_sent, generated_tokens()}, attempt_outcome::unreachable};
    }
    const auto seen = generated_tokens() > 0 ? evidence_kind::broken_stream : evidence_kind::unknown;
    return dispatch::call_failed{{seen, generated_tokens()}, attempt_outcome::broken};
}

void agent_exchange::on_attempt_end(attempt_outcome how) {
    const auto outcome = internal::to_routing_outcome(how);
    context_.router.finished(attempt_key(), backend_, outcome);
    if (outcome == routing::outcome::rejected || outcome == routing::outcome::failed) {
        excluded_.push_back(backend_);
    }
}

std::optional<base::duration> agent_exchange::inquire() {
    // Only the agent knows whether a request that must not be repeated was handed over to the backend server.
    context_.agents.cancel(agent_address_, identity().id, incarnation_);
    return context_.probe_timeout;
}

void agent_exchange::claim() {
    claim_pending_ = true;
    context_.claims.submit(
        {.request_id = identity().id,
         .organisation = identity().organisation,
         .service = identity().service,
         .key = request_.idempotency_key,
         .body_hash = base::sha256_hex(request_.method + " " + request_.path + "\n" + request_.body)});
}

void agent_exchange::on_claimed(base::instant run_before) noexcept {
    claim_pending_ = false;
    claimed_ = true;
    run_before_ = run_before;
}

served_usage agent_exchange::usage() const {
    return {.request = identity().id,
            .organisation = identity().organisation,
            .service = identity().service,
            .prompt_tokens = prompt_tokens(),
            .generated_tokens = generated_tokens()};
}

bool agent_exchange::complete() {
    if (claimed_) {
        context_.claims.finish(identity().id, response_to_store());
        claimed_ = false;
    }
    context_.usage.record(usage());
    return false;
}

void agent_exchange::release_response() {
    const auto &ident = identity();
    context_.metrics.observe(metrics::timing::whole_request, ident.organisation, ident.service,
                             context_.time.now() - ident.received);
    context_.metrics.count("requests_total",
                           "organisation=\"" + ident.organisation + "\",service=\"" + ident.service + "\"");
    send_response();
}

void agent_exchange::refuse(const dispatch::refusal &why) {
    const auto &ident = identity();
    if (claimed_ && why.ran == ran_claim::no) {
        context_.claims.finish_not_run(ident.id);
    } else if (claimed_) {
        context_.claims.finish_unknown(ident.id);
    }
    context_.metrics.count("refusals_total", "reason=\"" + why.code + "\",service=\"" + ident.service + "\"");
    if (started()) {
        // The head was already sent: report the reason in the stream and abort it, so that it is visibly incomplete.
        (void)ident.caller->write("event: error\ndata: " + error_body(why) + "\n\n");
        ident.caller->abort();
    } else {
        ident.caller->respond(to_response(why));
    }
    // Tokens generated before the response broke off are billed, too.
    if (generated_tokens() > 0) {
        context_.usage.record(usage());
    }
}

dispatch::refusal agent_exchange::refusal_for(end_reason why, ran_claim ran) const {
    std::string code{to_string(why)};
    switch (why) {
    case end_reason::outcome_unknown:
        return {502, std::move(code), "the call may have run; check the service's records before repeating it",
                ran_claim::unknown};
    case end_reason::deadline:
        return {504, std::move(code), "the request took too long; ask for less or retry later", ran,
                internal::suggested_retry_delay};
    case end_reason::caller_gone:
        return {499, std::move(code), "the caller closed the connection or reads too slowly", ran};
    case end_reason::retry_budget:
    case end_reason::attempts_exhausted:
        break;
    }
    return {503, std::move(code), "several backend servers failed; retry later", ran, internal::suggested_retry_delay};
}

bool agent_exchange::ends_with_caller() const noexcept {
    const bool handed_over =
        stage() == dispatch::exchange_stage::calling || stage() == dispatch::exchange_stage::inquiring;
    return request_.kind != request_kind::call || !handed_over;
}

} // namespace dotterelstack::entry
