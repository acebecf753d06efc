#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "base/ring.hpp"
#include "claim/claim_registry.hpp"
#include "config/config_state.hpp"
#include "dispatch/events.hpp"
#include "entry/caller_request.hpp"
#include "entry/dispatcher.hpp"
#include "entry/ports.hpp"

namespace dotterelstack::entry {

using dispatch::data_event;
using dispatch::end_event;
using dispatch::head_event;

struct arrival_event {
    std::shared_ptr<caller_port> caller;
    caller_request request;
};
struct cancel_outcome_event {
    std::string request;
    std::string outcome;
};
struct claim_event {
    claim::claim_decision decision;
};
struct usage_held_event {
    std::string request;
};
struct config_event {
    config::state_ptr state;
};
struct config_confirmed_event {
    base::instant when{};
};
struct store_outage_event {
    base::instant when{};
};
struct keys_withdrawn_event {
    std::vector<std::string> hashes;
};
struct backends_event {
    std::vector<backend_status> all;
};
/** @brief Wakes the dispatcher's thread after a change of the shares of limits. */
struct shares_changed_event {};
/** @brief Steps of a planned stop. */
enum class stop_step : std::uint8_t {
    refusing, /**< New requests are refused; running ones go on. */
    ending    /**< Running requests are ended. */
};
struct stop_event {
    stop_step step{stop_step::refusing};
};

using entry_event = std::variant<arrival_event, head_event, data_event, end_event, cancel_outcome_event, claim_event,
                                 usage_held_event, config_event, config_confirmed_event, store_outage_event,
                                 keys_withdrawn_event, backends_event, shares_changed_event, stop_event>;

/**
 * @brief Event queue of the dispatcher's thread. When it is full, an arrival is refused with 503 `overloaded`;
 * producers of call events block, which slows the agents' streams down by flow control.
 */
using event_ring = base::bounded_ring<entry_event>;

} // namespace dotterelstack::entry
