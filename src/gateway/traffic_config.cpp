#include "gateway/traffic_config.hpp"

#include <algorithm>
#include <cctype>

namespace dotterelstack::gateway {

namespace internal {

/** Lower-case host name without port. */
std::string host_name(std::string_view host) {
    std::string out{host.substr(0, host.find(':'))};
    std::ranges::transform(out, out.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return out;
}

} // namespace internal

traffic_config::traffic_config(traffic_values values) : values_{std::move(values)} {
    for (const auto &it : values_.routes) {
        routes_[internal::host_name(it.host)].push_back(&it);
    }
    for (auto &[host, routes] : routes_) {
        std::ranges::stable_sort(routes, std::ranges::greater{}, [](const auto *it) { return it->path_prefix.size(); });
    }
    for (const auto &it : values_.services) {
        services_.emplace(it.name, &it);
    }
    if (values_.organisations) {
        for (const auto &it : *values_.organisations) {
            for (const auto &key : it.keys) {
                keys_.emplace(key, &it);
            }
        }
    }
}

const traffic_route *traffic_config::find_route(std::string_view host, std::string_view path) const {
    const auto routes = routes_.find(internal::host_name(host));
    if (routes == routes_.end()) {
        return nullptr;
    }
    const auto it = std::ranges::find_if(routes->second,
                                         [path](const auto *route) { return path.starts_with(route->path_prefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const traffic_service *traffic_config::find_service(std::string_view name) const {
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : it->second;
}

const organisation *traffic_config::find_organisation(std::string_view key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : it->second;
}

} // namespace dotterelstack::gateway
