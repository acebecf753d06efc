#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::settings {

/** @brief Kind of a backend server: an engine that serves models, or an instance of a plain service. */
enum class backend_kind {
    model,
    plain
};

/** @brief Settings of one backend server on the agent's host. */
struct backend_settings {
    std::string name;
    std::string service;
    backend_kind kind{backend_kind::model};
    std::string address;
    std::vector<std::string> models; /**< At least one for an engine, none for a plain service. */
    std::string failure_domain;      /**< Defaults to that of the agent. */
    bool honours_fence{false};       /**< Whether the engine rejects orders with an outdated fencing token. */
};

/** @brief Intervals and time-outs of an agent; the file has them in whole milliseconds, with the suffix `_ms`. */
struct agent_timings {
    base::duration load_interval{std::chrono::milliseconds{200}}; /**< Between two polls of `/v1/load`. */
    base::duration ping_interval{std::chrono::milliseconds{500}};
    base::duration ping_deadline{std::chrono::milliseconds{1500}};
    base::duration store_timeout{std::chrono::seconds{2}};
    base::duration store_retry{std::chrono::milliseconds{250}};
    base::duration backend_connect{std::chrono::milliseconds{500}};
    base::duration backend_idle{std::chrono::seconds{10}};  /**< Longest time without data within a response. */
    base::duration cancel_memory{std::chrono::minutes{15}}; /**< At least the longest lifetime of a request. */
    base::duration drain_deadline{std::chrono::minutes{10}};
};

/** @brief Settings of `dotterelstack agent`. */
struct agent_settings {
    std::string host;
    std::string failure_domain;
    std::string listen; /**< HTTP/2 listener for entries; port 0 selects a free port. */
    std::string store;
    std::vector<backend_settings> backends;
    agent_timings timings;
};

/** @brief Parses and validates the settings of an agent; see `parse_entry_settings`. */
[[nodiscard]] base::result<agent_settings> parse_agent_settings(std::string_view file, std::string_view text,
                                                                const std::vector<std::string> &overrides = {});

/** @brief As `parse_agent_settings`, from a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<agent_settings> load_agent_settings(const std::string &path,
                                                               const std::vector<std::string> &overrides = {});

} // namespace dotterelstack::settings
