#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "base/ring.hpp"
#include "dispatch/events.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/crash_report.hpp"
#include "gateway/gateway_group.hpp"
#include "gateway/quota_port.hpp"
#include "gateway/server_speeds.hpp"
#include "gateway/shutdown_phase.hpp"
#include "gateway/traffic_config.hpp"
#include "http/caller_port.hpp"
#include "http/message.hpp"
#include "retry/retry_window.hpp"

namespace dotterelstack::gateway {

using dispatch::data_event;
using dispatch::end_event;
using dispatch::head_event;

struct arrival_event {
    std::shared_ptr<http::caller_port> caller;
    http::request message;
    base::instant received{};
};
struct config_event {
    traffic_config_ptr config;
};
struct backends_event {
    std::vector<backend_server> all;
};
/** Observations of other gateways; none for a gateway whose object has been erased. */
struct crash_reports_event {
    std::vector<std::pair<std::string, std::optional<crash_report>>> reports;
};
struct gateways_event {
    gateway_group all;
};
struct speeds_event {
    server_speeds all;
};
struct settings_event {
    retry::retry_window_settings retries;
};
struct stop_event {
    shutdown_phase how{shutdown_phase::closing};
};

/** How a report on the use of quotas ended. */
struct quota_answer_event {
    std::uint64_t call{0};
    quota_call_end how{quota_call_end::silent};
    std::optional<limits::quota_answer> answer;
};

using gateway_event =
    std::variant<arrival_event, head_event, data_event, end_event, config_event, backends_event, crash_reports_event,
                 gateways_event, speeds_event, settings_event, stop_event, quota_answer_event>;

/** @brief Queue of the forwarder's thread. When it is full, new requests are refused and other producers block. */
using event_ring = base::bounded_ring<gateway_event>;

} // namespace dotterelstack::gateway
