#include "gateway/connection_limits.hpp"

#include <algorithm>

namespace dotterelstack::gateway {

namespace internal {

// Part of a server's connections that all gateways together may keep. The rest is for gateways that are not known yet,
// for calls without a kept connection and for callers other than gateways.
constexpr std::uint64_t kept_percent = 75;

} // namespace internal

void connection_limits::set_servers(std::span<const backend_server> all) {
    servers_.clear();
    for (const auto &it : all) {
        if (!it.draining) {
            servers_.push_back({it.service, it.address, to_string(incarnation_of(it))});
        }
    }
}

std::vector<http::pooled_server> connection_limits::current() const {
    std::vector<http::pooled_server> out;
    if (!config_ || gateways_ == 0) {
        return out;
    }
    out.reserve(servers_.size());
    for (const auto &it : servers_) {
        const auto *service = config_->find_service(it.service);
        if (service == nullptr || service->max_connections == 0) {
            continue;
        }
        const auto share = service->max_connections * internal::kept_percent / 100 / gateways_;
        out.push_back({it.address, it.incarnation, static_cast<std::uint32_t>(std::max<std::uint64_t>(share, 1))});
    }
    return out;
}

} // namespace dotterelstack::gateway
