#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer/assembly.hpp"
#include "base/clock.hpp"
#include "entry/caller_request.hpp"
#include "entry/ports.hpp"
#include "entry/response_format.hpp"
#include "retry/retry_policy.hpp"
#include "routing/router.hpp"

namespace dotterelstack::entry {

/** @brief Where a request stands. */
enum class flow_stage {
    queued,   /**< Waits for admission. */
    claiming, /**< Admitted; its idempotency claim is being written. */
    running,  /**< An attempt is under way. */
    delayed,  /**< Waits for the next attempt. */
    probing,  /**< An attempt broke off; the agent is asked whether it ran. */
    between,  /**< The last attempt is over; the next one or the refusal follows at once. */
    holding,  /**< Answered; a peer is taking its usage record. */
};

/** @brief Response head of a plain call. */
struct call_answer {
    int status{0};
    std::string content_type;
    std::uint64_t total{0};
    std::string body;
};

/** @brief One request on its way through the entry. */
struct flow {
    std::string id;
    std::shared_ptr<caller_port> caller;
    caller_request request;
    std::string organisation;
    std::string service;
    std::string key_hash; /**< Empty on public routes. */
    bool repeatable{true};
    bool claimed{false};
    base::instant run_before{base::instant::max()};
    flow_stage stage{flow_stage::queued};
    base::instant received{};
    base::instant deadline{};

    std::uint32_t attempt{0};
    retry::request_history history{};
    base::instant retry_at{}; /**< Start of the next attempt, while delayed. */
    call_id call{0};
    std::string backend{};
    std::string agent_address{};
    std::string incarnation{};
    std::vector<std::string> excluded{};
    std::vector<std::uint64_t> prefix_blocks{};
    bool refused{false}; /**< The agent refused the attempt before hand-over. */
    int refusal_status{0};
    std::string line_rest{}; /**< Incomplete line of the current attempt. */

    answer::assembly assembly;
    response_format format;
    std::string text{};  /**< Of a response that is not streamed. */
    bool started{false}; /**< The caller has received the head of the response. */
    std::string finish_reason{};
    std::uint64_t prompt_tokens{0};
    std::optional<base::instant> last_token{};
    call_answer answer{};
};

} // namespace dotterelstack::entry
