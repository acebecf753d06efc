#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "dispatch/engine.hpp"
#include "dispatch/exchange.hpp"
#include "entry/caller_request.hpp"
#include "entry/ports.hpp"
#include "limits/admission.hpp"
#include "metrics/registry.hpp"
#include "routing/router.hpp"

namespace dotterelstack::entry {

class agent_exchange;

/** @brief Element of `exchange_index`: an exchange and its number in the engine. */
struct indexed_exchange {
    dispatch::exchange_number number{0};
    agent_exchange *request{nullptr};
};

using exchange_index = std::map<std::string, indexed_exchange, std::less<>>;

/** @brief Dependencies that all exchanges of a dispatcher share; outlives the exchanges. */
struct exchange_context {
    const base::clock &time;
    metrics::registry &metrics;
    agent_port &agents;
    claim_port &claims;
    usage_port &usage;
    routing::router &router;
    limits::admission &admission;
    exchange_index &index;
    const std::string &failure_domain;
    base::duration probe_timeout{}; /**< Longest wait for the outcome of `POST /cancel`. */
};

/** @brief Base of requests that an agent forwards to its backend server: handles claim, attempts and usage. */
class agent_exchange : public dispatch::exchange {
public:
    /** @param key_hash Empty on public routes. */
    agent_exchange(const exchange_context &context, dispatch::request_identity ident, caller_request request,
                   std::string key_hash);
    ~agent_exchange() override;

    [[nodiscard]] dispatch::place_result place() final;
    [[nodiscard]] dispatch::call_event_result on_head(int status, const http::field_list &fields) final;
    void on_attempt_end(dispatch::attempt_outcome how) final;
    [[nodiscard]] bool complete() final;
    void refuse(const dispatch::refusal &why) final;
    [[nodiscard]] dispatch::refusal refusal_for(dispatch::end_reason why, dispatch::ran_claim ran) const final;
    [[nodiscard]] std::string_view backend() const noexcept final { return backend_; }
    [[nodiscard]] bool ends_with_caller() const noexcept final;
    [[nodiscard]] std::optional<base::duration> inquire() final;

    /** @brief Submits the idempotency claim that has to be decided before the first attempt. */
    void claim();

    /** @brief Records the decision that the request may run, and until when an attempt may start. */
    void on_claimed(base::instant run_before) noexcept;

    /** @return True while a claim is being decided. */
    [[nodiscard]] bool claim_pending() const noexcept { return claim_pending_; }

    [[nodiscard]] const std::string &key_hash() const noexcept { return key_hash_; }
    [[nodiscard]] const caller_request &request() const noexcept { return request_; }

    /** @brief Completes the response to the caller, once the wait for its usage record to be held is over. */
    void release_response();

protected:
    [[nodiscard]] const exchange_context &context() const noexcept { return context_; }

    /** @return Evidence about a failed attempt, by which the retry policy decides. */
    [[nodiscard]] dispatch::call_event_result failure(dispatch::call_end how) const;

    /** @brief Tells the router that the backend server has begun to respond. */
    void on_progress() { context_.router.progress(attempt_key()); }

    /** @return True if the agent has refused the current attempt, for whatever reason. */
    [[nodiscard]] bool was_refused() const noexcept { return refusal_status_ != 0; }

private:
    virtual void begin_attempt(std::uint32_t attempt) = 0;
    virtual void on_response_head(const http::field_list &fields) = 0;
    /** @brief Adds the header fields that the agent needs for this kind of request. */
    virtual void add_fields(http::field_list &fields) const = 0;
    virtual void send_response() = 0;
    [[nodiscard]] virtual claim::stored_response response_to_store() const = 0;
    /** @return Tokens of the response received so far, over all attempts. */
    [[nodiscard]] virtual std::uint64_t generated_tokens() const noexcept = 0;
    [[nodiscard]] virtual std::uint64_t prompt_tokens() const noexcept = 0;
    /** @return True once the head of the response was sent to the caller. */
    [[nodiscard]] virtual bool started() const noexcept = 0;

    [[nodiscard]] std::string attempt_key() const;
    [[nodiscard]] routing::route_request route() const;
    [[nodiscard]] http::request run_message() const;
    [[nodiscard]] served_usage usage() const;

    const exchange_context &context_;
    const caller_request request_;
    const std::string key_hash_;
    const std::vector<std::uint64_t> prefix_blocks_;
    bool claim_pending_{false};
    bool claimed_{false};
    base::instant run_before_{base::instant::max()};
    std::string backend_;
    std::string agent_address_;
    std::string incarnation_;
    std::vector<std::string> excluded_;
    bool refused_{false}; /**< The agent refused the attempt before hand-over. */
    int refusal_status_{0};
};

} // namespace dotterelstack::entry
