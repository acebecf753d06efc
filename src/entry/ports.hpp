#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "claim/claim_registry.hpp"
#include "dispatch/call_port.hpp"
#include "http/caller_port.hpp"
#include "http/message.hpp"

namespace dotterelstack::entry {

using dispatch::call_end;
using dispatch::call_id;
using http::caller_port;

/** @brief Calls to agents. Their outcomes arrive as events of the dispatcher. */
class agent_port {
public:
    agent_port() = default;
    agent_port(const agent_port &) = delete;
    agent_port &operator=(const agent_port &) = delete;
    virtual ~agent_port() = default;

    /** @brief Sends `POST /run`; `on_head`, `on_data` and `on_end` of the dispatcher follow. */
    virtual void run(call_id call, std::string_view address, http::request message) = 0;

    /** @brief Cancels a call by resetting its stream. */
    virtual void reset(call_id call) = 0;

    /** @brief Sends `POST /cancel`; `on_cancel_outcome` of the dispatcher follows. */
    virtual void cancel(std::string_view address, std::string_view request, std::string_view incarnation) = 0;
};

/** @brief Idempotency claims. Decisions arrive as `on_claim` of the dispatcher. */
class claim_port {
public:
    claim_port() = default;
    claim_port(const claim_port &) = delete;
    claim_port &operator=(const claim_port &) = delete;
    virtual ~claim_port() = default;

    virtual void submit(claim::claim_request request) = 0;
    virtual void finish(std::string_view request, claim::stored_response answer) = 0;
    virtual void finish_unknown(std::string_view request) = 0;
    virtual void finish_not_run(std::string_view request) = 0;
};

/** @brief Usage of one response, as it is billed. */
struct served_usage {
    std::string request;
    std::string organisation;
    std::string service;
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    std::uint64_t calls{1};
};

/** @brief Usage records. `on_usage_held` of the dispatcher follows when the response may be completed. */
class usage_port {
public:
    usage_port() = default;
    usage_port(const usage_port &) = delete;
    usage_port &operator=(const usage_port &) = delete;
    virtual ~usage_port() = default;

    virtual void record(served_usage used) = 0;
};

} // namespace dotterelstack::entry
