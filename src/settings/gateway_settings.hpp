#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::settings {

/** @brief Time and retry bounds that the site guarantees to its users; the defaults suit a small site. */
struct gateway_bounds {
    /** From the store's acknowledgement of a change until every gateway uses it. */
    base::duration config_apply{std::chrono::seconds{2}};
    base::duration drain{std::chrono::seconds{2}}; /**< After it, a leaving backend server receives no new requests. */
    base::duration stop_grace{std::chrono::seconds{8}}; /**< From SIGTERM to SIGKILL. */
    base::duration contact{std::chrono::seconds{3}};    /**< Fault-free time after which the rules must hold. */
    base::duration lease_term{std::chrono::seconds{3}}; /**< Shortest time from one holder of a lease to the next. */
    base::duration usage_window{std::chrono::seconds{5}};
    base::duration usage_due{std::chrono::seconds{10}}; /**< Longest time from the end of a window to its report. */
    base::duration retry_window{std::chrono::seconds{10}};
    double retry_ratio{0.2}; /**< Retries per request in a retry window, over all gateways. */
    /** Units by which an organisation may exceed its quota, over all gateways; half of it is added to bursts. */
    double quota_tolerance{0};
    double retry_allowance{20}; /**< Retries in addition to the ratio, over all gateways. */
};

/** @brief Intervals and time-outs of a gateway; the file has them in milliseconds, with the suffix `_ms`. */
struct gateway_timings {
    base::duration store_timeout{std::chrono::seconds{1}};
    base::duration store_connect_timeout{std::chrono::milliseconds{300}};
    base::duration store_retry{std::chrono::milliseconds{200}};
    /** Longest time that the store holds a watch request; see `effective_watch_wait`. */
    base::duration watch_wait{std::chrono::seconds{10}};
    base::duration connect_timeout{std::chrono::milliseconds{250}};
};

/** @brief Settings of `dotterelstack gateway`. */
struct gateway_settings {
    std::string name;
    std::string failure_domain;
    struct {
        std::string callers;
        std::string readiness; /**< Polled by the load balancer. */
        std::string peers;     /**< Listener for other gateways. */
        std::string metrics;
    } listen;
    std::string store;              /**< Address of the platform's object store. */
    std::string duties;             /**< Address that takes usage reports; empty if none are to be sent. */
    std::vector<std::string> seeds; /**< Addresses of hosts that may run a gateway; their ports are ignored. */
    std::uint64_t descriptors{4096};
    double memory_mb{256}; /**< Memory of the process in MiB; a part of it may hold large messages. */
    gateway_bounds bounds;
    gateway_timings timings;
};

/**
 * @return Watch wait, shortened so that the wait, the store time-out and a reconnection together fit into the contact
 * time. A silent connection to the store is thus detected and replaced in time.
 */
[[nodiscard]] base::duration effective_watch_wait(const gateway_settings &values) noexcept;

/**
 * @brief Parses and validates the settings of a gateway.
 * @param file Name used in messages.
 * @param text JSON with comments.
 * @param overrides Pairs that replace the values of fields; see `parse_entry_settings`.
 * @return The settings, or one `invalid_argument` error that lists every problem.
 */
[[nodiscard]] base::result<gateway_settings> parse_gateway_settings(std::string_view file, std::string_view text,
                                                                    const std::vector<std::string> &overrides = {});

/** @brief As `parse_gateway_settings`, from a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<gateway_settings> load_gateway_settings(const std::string &path,
                                                                   const std::vector<std::string> &overrides = {});

} // namespace dotterelstack::settings
