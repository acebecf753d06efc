#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::settings {

/** @brief Limits on the requests to one entry. */
struct entry_limits {
    std::uint64_t body_bytes{std::uint64_t{4} << 20U};
    std::uint64_t header_bytes{std::uint64_t{16} << 10U};
    std::uint64_t concurrent_requests{1000};
};

/** @brief Intervals and time-outs of an entry; the file has them in whole milliseconds, with the suffix `_ms`. */
struct entry_timings {
    base::duration request_deadline{std::chrono::minutes{10}}; /**< Longest lifetime of a request. */
    base::duration drain_deadline{std::chrono::minutes{10}};   /**< Longest duration of a graceful stop. */
    base::duration ping_interval{std::chrono::milliseconds{500}};
    base::duration ping_deadline{std::chrono::milliseconds{1500}};
    base::duration store_timeout{std::chrono::seconds{2}};
    base::duration store_retry{std::chrono::milliseconds{250}}; /**< First delay before a failed call is retried. */
    base::duration watch_wait{std::chrono::seconds{10}};
    base::duration config_wait{std::chrono::seconds{2}}; /**< Longest wait of `GET /config`. */
    base::duration host_list_interval{std::chrono::seconds{1}};
    base::duration heartbeat_interval{std::chrono::milliseconds{500}};
    base::duration key_check_interval{std::chrono::seconds{1}}; /**< Between two checks of the keys of open streams. */
    base::duration isolation_limit{std::chrono::seconds{5}}; /**< Isolation time after which requests are rejected. */
    base::duration lease_term{std::chrono::seconds{5}};
    base::duration lease_margin{std::chrono::seconds{1}};
    base::duration grant_term{std::chrono::seconds{2}}; /**< Lifetime of a grant, a part of a limit that is lent. */
    base::duration usage_flush_interval{std::chrono::seconds{30}};
    base::duration usage_window{std::chrono::minutes{5}};
};

/** @brief Settings of `dotterelstack entry`. */
struct entry_settings {
    std::string name;
    std::string failure_domain;
    struct {
        std::string callers; /**< HTTP/1.1 listener; port 0 selects a free port. */
        std::string peers;   /**< HTTP/2 listener for other entries. */
    } listen;
    std::string store;              /**< Address of the object store. */
    std::string platform;           /**< Address that serves the host list and takes orders and usage reports. */
    std::vector<std::string> peers; /**< Addresses of other entries, used in addition to the host list. */
    entry_limits limits;
    entry_timings timings;
};

/**
 * @brief Parses and validates the settings of an entry.
 * @param file Name used in messages.
 * @param text JSON with comments.
 * @param overrides Pairs that replace the values of fields, such as `store=127.0.0.1:4000` or
 * `listen.peers=127.0.0.1:0`.
 * @return The settings, or one `invalid_argument` error that lists every problem.
 */
[[nodiscard]] base::result<entry_settings> parse_entry_settings(std::string_view file, std::string_view text,
                                                                const std::vector<std::string> &overrides = {});

/** @brief As `parse_entry_settings`, from a file; `not_found` if it cannot be read. */
[[nodiscard]] base::result<entry_settings> load_entry_settings(const std::string &path,
                                                               const std::vector<std::string> &overrides = {});

} // namespace dotterelstack::settings
