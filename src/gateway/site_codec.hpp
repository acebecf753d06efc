#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/traffic_config.hpp"

namespace dotterelstack::gateway {

/** @brief Decodes the objects that a platform keeps in its store. Stateless and thread-safe. */
class site_codec {
public:
    site_codec() = default;
    site_codec(const site_codec &) = delete;
    site_codec &operator=(const site_codec &) = delete;
    virtual ~site_codec() = default;

    /** @return Key prefix of the traffic configuration. */
    [[nodiscard]] virtual std::string_view config_prefix() const noexcept = 0;

    /** @return Key of the active traffic configuration. */
    [[nodiscard]] virtual std::string_view config_key() const noexcept = 0;

    /** @return Key prefix of the entries by which backend servers register. */
    [[nodiscard]] virtual std::string_view servers_prefix() const noexcept = 0;

    [[nodiscard]] virtual base::result<traffic_values> decode_config(std::string_view value) const = 0;

    /** @param id Key of the entry without the prefix. */
    [[nodiscard]] virtual base::result<backend_server> decode_server(std::string_view id,
                                                                     std::string_view value) const = 0;
};

/** @brief Number of requests that started to run in one window, by organisation. */
using start_counts = std::map<std::string, std::uint64_t, std::less<>>;

/** @brief Usage reports to the platform. Only the lease holder may send them. */
class usage_report_port {
public:
    usage_report_port() = default;
    usage_report_port(const usage_report_port &) = delete;
    usage_report_port &operator=(const usage_report_port &) = delete;
    virtual ~usage_report_port() = default;

    /**
     * @brief Reports the usage of one window. Blocks.
     * @param window Number of the window, counted from Unix time 0.
     * @param fence Fencing token of the holder's lease.
     * @return Nothing when accepted; `refused` when a holder with a higher token has reported.
     */
    [[nodiscard]] virtual base::result<void> report_usage(std::uint64_t window, const start_counts &counts,
                                                          std::uint64_t fence) = 0;
};

} // namespace dotterelstack::gateway
