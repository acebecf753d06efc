#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_server.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

/** @brief A segment of a prompt that other requests may share. */
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};
};

/** @brief Request metadata taken from a caller's message. */
struct request_facts {
    std::string id;  /**< Unique for each attempt of a caller. */
    std::string key; /**< API key, or empty. Never logged or forwarded. */
    std::string host;
    std::optional<base::duration> time_left; /**< Time until the caller gives up. */
    std::string model;                       /**< Empty for plain services. */
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_output_tokens{0};
    std::vector<prompt_part> prompt;         /**< In order; the last segment is unique to this request. */
    std::optional<std::uint64_t> last_event; /**< Last event that the caller has received. */
};

/** @brief A caller's request: metadata, and the message without the fields that must not be forwarded. */
struct exchange_request {
    request_facts facts;
    http::request message;
};

/** @brief Data that the gateway adds to a request for one attempt. */
struct attempt_facts {
    std::string backend{};      /**< Id of the only incarnation that may run the request. */
    std::string organisation{}; /**< Empty on public routes. */
    base::duration time_left{0};
    std::optional<unsigned int> priority{}; /**< 0 (most urgent) to 9. */
    bool prefill_only{false};               /**< Prefill the prompt and hold its state for a decode engine. */
    std::string fetch_from{};   /**< Engine that probably has shared prompt segments cached which the target lacks. */
    std::string state_source{}; /**< Source of the prefilled state, or empty. */
    std::optional<std::uint64_t> resume_after{}; /**< Last event that the caller has received. */
};

/** @brief Load of a backend server, as it reports it; requests are those of all callers. */
struct reported_load {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};              /**< 0 if not reported; those of the discovery entry then hold. */
    std::optional<double> work_factor{}; /**< Time that work takes there at this moment; 1 is usual. */
};

/** @brief What a backend server says about itself in an answer; it concerns all requests. */
struct server_notice {
    bool leaving{false}; /**< It will stop soon and wants no new requests. */
    /** Time for which it wants no requests from this gateway; it has not run the one that it answers. */
    std::optional<base::duration> pause{};
    /** Requests a second that it takes from all gateways together, for as long as its answers say so. */
    std::optional<double> limit{};
    bool ends_limit{false}; /**< The answer is certainly its own, and names no limit. */
};

/** @brief Decoded head of a backend server's answer. */
struct answer_head {
    int status{0};
    bool genuine{false};       /**< Signed by the backend server, without content encoding, and for the request sent. */
    bool own_request{false};   /**< The answer names the request that was sent. */
    bool other_request{false}; /**< It names a different one. */
    bool not_run{false};       /**< The backend server states that the request did not run and will not. */
    bool other_server{false};  /**< The address now belongs to another incarnation. */
    server_notice notice;
    bool event_stream{false};
    bool framed{false}; /**< It has a length or chunks; otherwise it ends with its connection. */
    std::optional<reported_load> load;
    http::field_list fields; /**< Fields to forward to the caller. */
};

} // namespace dotterelstack::gateway
