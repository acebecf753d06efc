#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::settings {

/** @brief What the site promises its users; the defaults are those of a small site. */
struct gateway_bounds {
    base::duration config_apply{std::chrono::seconds{2}}; /**< From the store's acknowledgement to use everywhere. */
    base::duration drain{std::chrono::seconds{2}};        /**< A leaving backend server gets nothing new after it. */
    base::duration stop_grace{std::chrono::seconds{8}};   /**< From SIGTERM to SIGKILL. */
    base::duration contact{std::chrono::seconds{3}};    /**< A host without trouble for so long must keep the rules. */
    base::duration lease_term{std::chrono::seconds{3}}; /**< Shortest time between two holders of a lease. */
    base::duration usage_window{std::chrono::seconds{5}};
    base::duration usage_due{std::chrono::seconds{10}}; /**< From the end of a window to its report. */
    base::duration retry_window{std::chrono::seconds{10}};
    double retry_ratio{0.2};           /**< Retries of all gateways together for each request in a retry window. */
    std::uint64_t retry_allowance{20}; /**< Retries of all gateways together besides the ratio. */
};

/** @brief Times of one gateway; in the file as whole milliseconds with the suffix `_ms`. */
struct gateway_timings {
    base::duration store_timeout{std::chrono::seconds{1}};
    base::duration store_connect_timeout{std::chrono::milliseconds{300}};
    base::duration store_retry{std::chrono::milliseconds{200}};
    /** Longest wait of a watch; see `effective_watch_wait`. */
    base::duration watch_wait{std::chrono::seconds{10}};
    base::duration connect_timeout{std::chrono::milliseconds{250}};
};

/** @brief Settings of `dotterelstack gateway`. */
struct gateway_settings {
    std::string name;
    std::string failure_domain;
    struct {
        std::string callers;
        std::string readiness; /**< Asked by the balancer. */
        std::string peers;     /**< Other gateways. */
        std::string metrics;
    } listen;
    std::string store;              /**< Address of the platform's object store. */
    std::string duties;             /**< Address that takes usage reports; empty when none are due. */
    std::vector<std::string> seeds; /**< Hosts that may run a gateway; only their IP addresses are used. */
    std::uint64_t descriptors{4096};
    gateway_bounds bounds;
    gateway_timings timings;
};

/**
 * @return Wait of a watch that leaves time to notice a silent connection: wait, store timeout and a new connection fit
 * into the contact time.
 */
[[nodiscard]] base::duration effective_watch_wait(const gateway_settings &values) noexcept;

/**
 * @brief Reads and checks the settings of a gateway.
 * @param file Name used in messages.
 * @param text JSON with comments.
 * @param overrides Values that replace fields, as for an entry.
 * @return The settings, or one `invalid_argument` error that lists every problem.
 */
[[nodiscard]] base::result<gateway_settings> parse_gateway_settings(std::string_view file, std::string_view text,
                                                                    const std::vector<std::string> &overrides = {});

/** @brief As `parse_gateway_settings`, from a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<gateway_settings> load_gateway_settings(const std::string &path,
                                                                   const std::vector<std::string> &overrides = {});

} // namespace dotterelstack::settings
