#include "entry/dispatcher.hpp"

#include <chrono>

#include "config/route.hpp"
#include "entry/completion_exchange.hpp"
#include "entry/key_scrubber.hpp"
#include "entry/service_exchange.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using dispatch::ran_claim;

namespace internal {

// Capacity of this entry for a service: concurrent requests per available backend server.
constexpr std::uint32_t slots_per_backend = 32;
// Retry-After if there is no better estimate: the time within which membership changes become visible.
constexpr auto membership_delay = std::chrono::seconds{2};
// Running requests are ended this long after the isolation limit, so that an entry that was only slow or paused for a
// moment can read the configuration first. With the limit of 5 s, this stays within the 6 s of section 1.3 of the
// design.
constexpr auto isolation_grace = std::chrono::milliseconds{500};

// Limits of requests without a key on public routes, for services without a configured row for them.
constexpr limits::row_limits public_limits{
    .weight = 1, .max_concurrency = 8, .requests_per_second = 20, .max_queue = 16};
// Interval at which unused retry budgets are dropped.
constexpr auto prune_interval = std::chrono::minutes{1};

/** Uniform number in [0, 1) from 64 random bits. */
double to_unit(std::uint64_t bits) noexcept {
    constexpr unsigned int unused_bits = 11;
    constexpr double step = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    return static_cast<double>(bits >> unused_bits) * step;
}

std::int64_t wall_clock_seconds() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

dispatch::refusal limit_refusal(const limits::decision &it) {
    using enum limits::refusal;
    const auto wait = it.retry_after;
    switch (it.reason) {
    case concurrency:
        return {429, "concurrency_limit", "the organisation's concurrency limit is reached; retry later", {}, wait};
    case rate:
        return {429, "request_rate_limit", "the organisation's request rate is reached; retry later", {}, wait};
    case prompt_tokens:
        return {429, "prompt_token_limit", "the organisation's prompt token rate is reached; retry later", {}, wait};
    case generated_tokens:
        return {429, "generated_token_limit", "the organisation's token rate is reached; retry later", {}, wait};
    case queue_full:
        return {429, "queue_full", "too many requests of the organisation wait; retry later", {}, wait};
    case deadline:
        return {504, "deadline", "the request could not start in time; retry later", {}, wait};
    case unknown_row:
        return {403, "service_not_allowed", "ask the operator for a row for this organisation and service"};
    case capacity:
    case duplicate:
    case none:
        break;
    }
    return {503, "capacity", "the backend servers of the service are busy; retry later", {}, wait};
}

} // namespace internal

dispatcher::dispatcher(dispatcher_settings settings, dependencies with)
    : settings_{std::move(settings)}, deps_{std::move(with)}, admission_{deps_.time}, router_{deps_.time, deps_.random},
      budget_{deps_.time}, retries_{deps_.time, budget_,
                                    [random = deps_.random] { return internal::to_unit(random()); }},
      freshness_{deps_.time, settings_.isolation_limit}, calls_{deps_.agents},
      exchange_context_{deps_.time,
                        deps_.metrics,
                        deps_.agents,
                        deps_.claims,
                        deps_.usage,
                        router_,
                        admission_,
                        index_,
                        settings_.failure_domain,
                        settings_.probe_timeout},
      engine_{{deps_.time, deps_.metrics, calls_, retries_}} {}

const config::service *dispatcher::find_service(const caller_request &request) const {
    return request.kind == request_kind::call ? config_->find_service(request.service)
                                              : config_->find_service_of_model(request.model);
}

bool dispatcher::is_public(const config::service &service, const caller_request &request) const {
    if (service.is_public) {
        return true;
    }
    const auto *route = config::find_route(service, request.method, request.path.substr(0, request.path.find('?')));
    return request.kind == request_kind::call && route != nullptr && route->is_public;
}

bool dispatcher::key_valid(std::string_view hash) const {
    return !withdrawn_.contains(hash) && config_->find_active_key(hash) != nullptr;
}

void dispatcher::refuse(caller_port &caller, const dispatch::refusal &answer, std::string_view service) {
    deps_.metrics.count("refusals_total", "reason=\"" + answer.code + "\",service=\"" + std::string{service} + "\"");
    caller.respond(to_response(answer));
}

void dispatcher::on_arrival(std::shared_ptr<caller_port> caller, caller_request request) {
    const auto wait = internal::membership_delay;
    if (stopping_) {
        return refuse(*caller, {503, "stopping", "this entry is stopping; send to another one", {}, wait}, "");
    }
    if (!config_ || !freshness_.serves()) {
        return refuse(*caller,
                      {503, "isolated", "this entry cannot confirm its key table; send to another one", {}, wait}, "");
    }
    const auto *service = find_service(request);
    const bool key_optional = service != nullptr && is_public(*service, request);
    const std::string hash = request.key.empty() ? "" : base::sha256_hex(request.key);
    if (!key_optional && (hash.empty() || !key_valid(hash))) {
        log::write("request_unauthorised", {{"present", !hash.empty()}});
        return refuse(
            *caller,
            {401, hash.empty() ? "missing_key" : "invalid_key", "send a valid key as \"Authorization: Bearer KEY\""},
            "");
    }
    if (service == nullptr) {
        const bool call = request.kind == request_kind::call;
        return refuse(*caller,
                      {404, call ? "unknown_service" : "unknown_model", "no service offers this; check its name"}, "");
    }
    const auto *key = hash.empty() || !key_valid(hash) ? nullptr : config_->find_active_key(hash);
    const std::string organisation = key == nullptr ? std::string{public_organisation} : key->organisation;
    const bool anonymous = organisation == public_organisation;
    if (!anonymous && config_->find_row(organisation, service->name) == nullptr) {
        return refuse(*caller,
                      {403, "service_not_allowed", "ask the operator for a row for this organisation and service"},
                      service->name);
    }
    if (scrub_keys(request) == scrub_outcome::refused) {
        log::write("key_in_body_refused", {{"service", service->name}, {"organisation", organisation}});
        return refuse(*caller, {400, "key_in_request", "send the key in the Authorization header only"}, service->name);
    }
    const auto received = deps_.time.now();
    dispatch::request_identity ident{.id = deps_.ids.next(),
                                     .caller = std::move(caller),
                                     .organisation = organisation,
                                     .service = service->name,
                                     .received = received,
                                     .deadline = received + settings_.request_deadline};
    const auto key_hash = key == nullptr ? "" : hash;
    if (request.kind == request_kind::call) {
        const auto *route =
            config::find_route(*service, request.method, request.path.substr(0, request.path.find('?')));
        ident.work = {.repeatable = route != nullptr && route->repeatable,
                      .idempotency_key = !request.idempotency_key.empty()};
        return submit(
            std::make_unique<service_exchange>(exchange_context_, std::move(ident), std::move(request), key_hash));
    }
    ident.work = {.repeatable = true, .resumable = true, .idempotency_key = !request.idempotency_key.empty()};
    submit(std::make_unique<completion_exchange>(exchange_context_, std::move(ident), std::move(request), key_hash,
                                                 internal::wall_clock_seconds()));
}

void dispatcher::submit(std::unique_ptr<agent_exchange> request) {
    const auto &ident = request->identity();
    const auto &asked = request->request();
    const limits::submission wanted{.request = ident.id,
                                    .row = {ident.organisation, ident.service},
                                    .prompt_tokens = asked.prompt_tokens,
                                    .max_generated_tokens = asked.max_tokens,
                                    .priority = static_cast<int>(asked.priority),
                                    .deadline = ident.deadline};
    auto *it = request.get();
    const indexed_exchange known{engine_.add(std::move(request)), it};
    index_[it->identity().id] = known;
    const auto answer = admission_.submit(wanted);
    if (answer.outcome == limits::verdict::refused) {
        engine_.end(known.number, internal::limit_refusal(answer));
    } else if (answer.outcome == limits::verdict::admitted) {
        admitted(known);
    }
}

void dispatcher::admitted(const indexed_exchange &it) {
    const auto &ident = it.request->identity();
    deps_.metrics.observe(metrics::timing::queue_wait, ident.organisation, ident.service,
                          deps_.time.now() - ident.received);
    if (ident.work.repeatable || !ident.work.idempotency_key) {
        return engine_.start(it.number);
    }
    it.request->claim();
}

void dispatcher::on_claim(const claim::claim_decision &decision) {
    const auto *known = find(decision.request_id);
    if (known == nullptr || !known->request->claim_pending()) {
        // The request ended before its claim was decided; the claim must not stay open.
        if (decision.verdict == claim::claim_verdict::run) {
            deps_.claims.finish_not_run(decision.request_id);
        }
        return;
    }
    const auto it = *known;
    using enum claim::claim_verdict;
    switch (decision.verdict) {
    case run:
        it.request->on_claimed(decision.run_before);
        return engine_.start(it.number);
    case replay:
        if (!decision.answer.complete) {
            return engine_.end(it.number, {409, "answer_not_kept", "the request ran; its answer was too large to keep",
                                           ran_claim::unknown});
        }
        it.request->identity().caller->respond(
            {decision.answer.status,
             {{"Content-Type", decision.answer.content_type}, {"Idempotent-Replayed", "true"}},
             decision.answer.body});
        return engine_.finish(it.number);
    case in_progress:
        return engine_.end(it.number,
                           {409, "in_progress", "a request with this Idempotency-Key is running; repeat it later",
                            ran_claim::no, internal::membership_delay});
    case unknown:
        log::write("claim_unknown", {{"request", decision.request_id}, {"service", it.request->identity().service}});
        return engine_.end(it.number,
                           {409, "outcome_unknown",
                            "a request with this Idempotency-Key may have run; check the service before a new one",
                            ran_claim::unknown});
    case key_reused:
        return engine_.end(it.number,
                           {422, "idempotency_key_reused", "use a new Idempotency-Key for a different request"});
    case refused:
        break;
    }
    engine_.end(it.number,
                {503, "claim_unavailable", decision.reason.message, ran_claim::no, internal::membership_delay});
}

void dispatcher::on_cancel_outcome(std::string_view request, std::string_view outcome) {
    if (const auto *it = find(request)) {
        const bool never = outcome == "never_starts";
        engine_.on_inquiry(it->number, never ? retry::evidence_kind::never_starts : retry::evidence_kind::unknown);
    }
}

void dispatcher::on_usage_held(std::string_view request) {
    const auto *found = find(request);
    if (found != nullptr && found->request->stage() == dispatch::exchange_stage::answered) {
        const auto it = *found;
        it.request->release_response();
        engine_.finish(it.number);
    }
}

void dispatcher::on_config(config::state_ptr state) {
    if (config_ && state->version() <= config_->version()) {
        return;
    }
    const auto old = std::move(config_);
    config_ = std::move(state);
    for (const auto &[name, row] : config_->values().rows) {
        admission_.set_row({row.organisation, row.service},
                           {.weight = row.weight,
                            .max_concurrency = static_cast<std::uint32_t>(row.concurrency),
                            .requests_per_second = row.requests_per_second,
                            .prompt_tokens_per_second = row.prompt_tokens_per_second,
                            .generated_tokens_per_second = row.generated_tokens_per_second,
                            .max_queue = static_cast<std::uint32_t>(row.max_queue)});
    }
    for (const auto &[name, service] : config_->values().services) {
        if (config_->find_row(public_organisation, name) == nullptr) {
            admission_.set_row({public_organisation, name}, internal::public_limits);
        }
    }
    if (old) {
        for (const auto &[name, row] : old->values().rows) {
            if (!config_->values().rows.contains(name)) {
                admission_.remove_row({row.organisation, row.service});
            }
        }
    }
    next_key_check_ = {};
    tick();
}

void dispatcher::on_keys_withdrawn(const std::vector<std::string> &hashes) {
    for (const auto &it : hashes) {
        if (withdrawn_.insert(it).second) {
            log::write("key_withdrawn", {{"hash_prefix", it.substr(0, 8)}});
            next_key_check_ = {};
        }
    }
    tick();
}

void dispatcher::on_backends(const std::vector<backend_status> &all) {
    std::set<std::string, std::less<>> seen;
    std::map<std::string, std::uint32_t> slots;
    for (const auto &it : all) {
        seen.insert(it.facts.name);
        router_.update_backend(it.facts);
        if (it.has_report) {
            (void)router_.apply_report(it.facts.name, it.report);
        }
        if (it.facts.healthy && !it.facts.leaving) {
            slots[it.facts.service] += internal::slots_per_backend;
        }
    }
    for (const auto &name : known_backends_) {
        if (!seen.contains(name)) {
            router_.remove_backend(name);
        }
    }
    known_backends_ = std::move(seen);
    for (const auto &[service, n] : slots) {
        admission_.set_capacity(service, n);
    }
}

void dispatcher::on_share(std::string_view organisation, std::string_view service, const limits::row_share &share) {
    admission_.set_share({organisation, service}, share);
}

void dispatcher::check_keys(base::instant now) {
    if (freshness_.serves()) {
        isolated_since_.reset();
    } else if (config_ && !isolated_since_) {
        isolated_since_ = now;
        log::write("key_table_stale", {{"active", engine_.size()}});
    }
    const bool isolated = isolated_since_ && now - *isolated_since_ >= internal::isolation_grace;
    const bool due = now >= next_key_check_;
    if (due) {
        next_key_check_ = now + settings_.key_check_interval;
    }
    if (!isolated && !due) {
        return;
    }
    // A copy, as ending a request removes it from the index.
    const auto all = index_;
    for (const auto &[id, it] : all) {
        const auto &hash = it.request->key_hash();
        if (hash.empty() || it.request->stage() == dispatch::exchange_stage::answered) {
            continue;
        }
        if (due && config_ && !key_valid(hash)) {
            log::write("stream_ended_key_withdrawn",
                       {{"request", id}, {"organisation", it.request->identity().organisation}});
            engine_.end(it.number,
                        {401, "key_withdrawn", "the key was withdrawn; use a valid one", ran_claim_of(*it.request)});
        } else if (isolated) {
            engine_.end(it.number,
                        {503, "isolated", "this entry cannot confirm its key table any more; send to another one",
                         ran_claim_of(*it.request), internal::membership_delay});
        }
    }
}

void dispatcher::tick() {
    for (const auto &answer : admission_.poll()) {
        const auto *found = find(answer.request);
        if (found == nullptr || found->request->stage() != dispatch::exchange_stage::held ||
            found->request->claim_pending()) {
            continue;
        }
        const auto it = *found;
        if (answer.outcome == limits::verdict::admitted) {
            admitted(it);
        } else {
            engine_.end(it.number, internal::limit_refusal(answer));
        }
    }
    const auto now = deps_.time.now();
    if (now >= next_prune_) {
        next_prune_ = now + internal::prune_interval;
        budget_.prune();
    }
    check_keys(now);
    engine_.tick();
}

void dispatcher::end_all() {
    // A copy, as ending a request removes it from the index.
    const auto all = index_;
    for (const auto &[id, it] : all) {
        const auto stage = it.request->stage();
        if (stage == dispatch::exchange_stage::answered) {
            continue;
        }
        const bool handed_over =
            stage == dispatch::exchange_stage::calling || stage == dispatch::exchange_stage::inquiring;
        if (handed_over && !it.request->identity().work.repeatable) {
            engine_.end(it.number, it.request->refusal_for(dispatch::end_reason::outcome_unknown, ran_claim::unknown));
        } else {
            engine_.end(it.number, {503, "stopping", "this entry stopped before the request was done; send it again",
                                    ran_claim_of(*it.request), internal::membership_delay});
        }
    }
}

std::vector<std::string> dispatcher::withdrawn_key_ids() const {
    std::vector<std::string> out;
    for (const auto &hash : withdrawn_) {
        if (const auto *key = config_ ? config_->find_active_key(hash) : nullptr) {
            out.push_back(key->id);
        }
    }
    return out;
}

std::map<config::row_name, limits::row_status> dispatcher::active_rows() const {
    std::map<config::row_name, limits::row_status> out;
    for (const auto &[id, it] : index_) {
        const auto &ident = it.request->identity();
        const config::row_name name{ident.organisation, ident.service};
        if (!out.contains(name)) {
            out.emplace(name, admission_.status({ident.organisation, ident.service}));
        }
    }
    return out;
}

const indexed_exchange *dispatcher::find(std::string_view id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &it->second;
}

} // namespace dotterelstack::entry
