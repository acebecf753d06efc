#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gateway/backend_server.hpp"
#include "gateway/gateway_group.hpp"
#include "gateway/traffic_config.hpp"
#include "http/connection_pool.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Decides how many connections this gateway may keep to each backend server: an equal part of what the server
 * takes from all callers. Single-threaded.
 */
class connection_limits {
public:
    void set_servers(std::span<const backend_server> all);
    void set_config(traffic_config_ptr config) { config_ = std::move(config); }
    void set_gateways(const gateway_group &all) noexcept { gateways_ = all.listed ? all.size() : 0; }

    /** @return One entry for each server that takes requests; empty while configuration or gateways are not known. */
    [[nodiscard]] std::vector<http::pooled_server> current() const;

private:
    struct known_server {
        std::string service;
        std::string address;
        std::string incarnation;
    };

    std::vector<known_server> servers_;
    traffic_config_ptr config_;
    std::uint32_t gateways_{0};
};

} // namespace dotterelstack::gateway
