#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_server.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

/** @brief A part of a prompt that other requests may share. */
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};
};

/** @brief What a caller's message says about its request. */
struct request_facts {
    std::string id;  /**< Unique for each try of a caller. */
    std::string key; /**< Empty when none came. Never logged or forwarded. */
    std::string host;
    std::optional<base::duration> time_left; /**< How long the caller waits. */
    std::string model;                       /**< Empty for plain services. */
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_output_tokens{0};
    std::vector<prompt_part> prompt;         /**< In order; the last one belongs to this request alone. */
    std::optional<std::uint64_t> last_event; /**< The caller has received the events up to this one. */
};

/** @brief A caller's request: the facts, and the message without fields that must not be forwarded. */
struct exchange_request {
    request_facts facts;
    http::request message;
};

/** @brief What the gateway adds to a request for one attempt. */
struct attempt_facts {
    std::string backend{};      /**< Id of the incarnation that may run it. */
    std::string organisation{}; /**< Empty on public routes. */
    base::duration time_left{0};
    std::optional<unsigned int> priority{};      /**< 0 to 9, 0 first. */
    bool prefill_only{false};                    /**< Reads the prompt and keeps it for a decode engine. */
    std::string fetch_from{};                    /**< Engine that probably keeps shared parts which this one lacks. */
    std::string state_source{};                  /**< Where the prefilled state is fetched from; empty for none. */
    std::optional<std::uint64_t> resume_after{}; /**< Last event that the caller has received. */
};

/** @brief Requests at a backend server, from all callers. */
struct reported_load {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
};

/** @brief Head of a backend server's answer. */
struct answer_head {
    int status{0};
    bool genuine{false};       /**< Signed by the backend server, not encoded, and for the request that was sent. */
    bool other_request{false}; /**< Names another request. */
    bool not_run{false};       /**< Evidence that the request did not run and will not. */
    bool other_server{false};  /**< Another incarnation has the address. */
    bool event_stream{false};
    std::optional<reported_load> load;
    http::field_list fields; /**< To pass on. */
};

} // namespace dotterelstack::gateway
