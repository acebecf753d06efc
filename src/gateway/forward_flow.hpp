#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_port.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/request_facts.hpp"
#include "gateway/traffic_config.hpp"
#include "http/caller_port.hpp"

namespace dotterelstack::gateway {

/** @brief Where a request stands. */
enum class flow_stage : std::uint8_t {
    waiting,    /**< For a place. */
    prefilling, /**< One engine reads the prompt for another. */
    running     /**< An attempt is under way that answers the caller. */
};

/** @brief What is known about whether the last attempt ran. */
enum class run_evidence : std::uint8_t {
    not_sent, /**< No connection was made. */
    not_run,  /**< The backend server said so. */
    unknown
};

/** @brief One request on its way through the gateway. */
struct forward_flow {
    std::uint64_t number{0};
    std::shared_ptr<http::caller_port> caller;
    exchange_request request;
    traffic_config_ptr config; /**< Keeps the route alive. */
    const traffic_route *route{nullptr};
    std::string service;
    std::string organisation;
    std::optional<unsigned int> priority;
    base::instant received{};
    base::instant deadline{};   /**< Of the caller or the route, whichever is first. */
    base::instant wait_until{}; /**< Latest time for which it is kept waiting for a place. */
    flow_stage stage{flow_stage::waiting};

    // Attempts
    unsigned int sent{0}; /**< Attempts that reached a backend server. */
    bool may_have_run{false};
    bool may_split{true};
    std::vector<std::string> tried;
    call_id call{0};
    std::string backend;
    std::string address;
    std::string decoder; /**< While prefilling: where the generation will run. */
    std::string handle;  /**< Of prefilled state that no engine has taken yet. */
    std::string handle_address;
    double prefill_tokens{0};
    bool was_split{false};      /**< The prompt was to be read by a prefill engine. */
    bool long_prompt{false};    /**< It shares enough to have a home. */
    base::duration expected{0}; /**< To the first event, as estimated when the request was placed. */
    base::instant attempt_started{};
    bool first_event_seen{false}; /**< Of this attempt. */

    // Answer
    answer_head head;
    event_splitter events;
    std::string body;
    bool started{false}; /**< The caller has received the head. */
    std::optional<std::uint64_t> last_event;
    std::optional<base::instant> last_event_at;

    // Where the time went, from the request's arrival on.
    base::duration placed_after{0};
    base::duration prefilled_after{0};
    base::duration first_event_after{0};

    /** @return True when running it twice does no harm, or it can go on where it stopped. */
    [[nodiscard]] bool repeatable() const noexcept {
        return route->kind == work_kind::safe || (route->kind == work_kind::stream && route->resumable);
    }
};

} // namespace dotterelstack::gateway
