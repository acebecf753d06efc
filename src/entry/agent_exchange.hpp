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

/** @brief A request by its id. */
struct indexed_exchange {
    dispatch::exchange_number number{0};
    agent_exchange *request{nullptr};
};

using exchange_index = std::map<std::string, indexed_exchange, std::less<>>;

/** @brief What all exchanges of a dispatcher share; outlives them. */
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
    base::duration probe_timeout{}; /**< Longest wait for the answer to a cancel. */
};

/** @brief A request that an agent hands to its backend server: limits, claim, run, usage. */
class agent_exchange : public dispatch::exchange {
public:
    /** @param key_hash Empty on public routes. */
    agent_exchange(const exchange_context &tools, dispatch::request_identity of, caller_request request,
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

    /** @brief The claim allows the run until this instant. */
    void on_claimed(base::instant run_before) noexcept;

    /** @return True while a claim is being decided. */
    [[nodiscard]] bool claiming() const noexcept { return claiming_; }

    [[nodiscard]] const std::string &key_hash() const noexcept { return key_hash_; }
    [[nodiscard]] const caller_request &request() const noexcept { return request_; }

    /** @brief Gives the caller the end of the answer, once its usage record is held. */
    void release_response();

protected:
    [[nodiscard]] const exchange_context &tools() const noexcept { return tools_; }

    /** @return What is known about an attempt that has failed. */
    [[nodiscard]] dispatch::call_event_result failure(dispatch::call_end how) const;

    /** @brief The backend server has begun to answer. */
    void on_progress() { tools_.router.progress(attempt_key()); }

    /** @return True when the agent has refused the attempt under way, whatever the reason. */
    [[nodiscard]] bool was_refused() const noexcept { return refusal_status_ != 0; }

private:
    virtual void begin_attempt(std::uint32_t attempt) = 0;
    virtual void on_answer_head(const http::field_list &fields) = 0;
    /** @brief Adds what the agent has to know about this kind of work. */
    virtual void add_fields(http::field_list &fields) const = 0;
    virtual void give_answer() = 0;
    [[nodiscard]] virtual claim::stored_response answer_to_keep() const = 0;
    /** @return Tokens that the caller has received. */
    [[nodiscard]] virtual std::uint64_t generated_tokens() const noexcept = 0;
    [[nodiscard]] virtual std::uint64_t prompt_tokens() const noexcept = 0;
    /** @return True when the caller has received the head of the answer. */
    [[nodiscard]] virtual bool started() const noexcept = 0;

    [[nodiscard]] std::string attempt_key() const;
    [[nodiscard]] routing::route_request route() const;
    [[nodiscard]] http::request run_message() const;
    [[nodiscard]] served_usage usage() const;

    const exchange_context &tools_;
    const caller_request request_;
    const std::string key_hash_;
    const std::vector<std::uint64_t> prefix_blocks_;
    bool claiming_{false};
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
