#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "http/caller_limits.hpp"
#include "limits/quota.hpp"

namespace dotterelstack::gateway {

/** @brief Whether a request may be repeated when its outcome is unknown. */
enum class work_kind : std::uint8_t {
    safe,   /**< May run more than once. */
    unsafe, /**< Runs at most once. */
    stream  /**< Answered by an event stream; runs at most once unless the route is resumable. */
};

/** @brief A service and its weight in a route's traffic. */
struct weighted_service {
    std::string name;
    std::uint32_t weight{1};
};

/** @brief A route: matches a host and path prefix and sets how its requests are handled. */
struct traffic_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    work_kind kind{work_kind::unsafe};
    base::duration timeout{0};           /**< Maximum duration of a request. */
    base::duration latency_objective{0}; /**< Time to the whole answer, or to the first event of a stream. */
    base::duration gap_objective{0};     /**< Maximum time between two events of a stream. */
    unsigned int priority{0};            /**< 0 is the most urgent. */
    std::vector<weighted_service> services;
    unsigned int max_attempts{1}; /**< Number of backend servers that one request may be sent to. */
    bool is_public{false};        /**< Requests need no key. */
    bool resumable{false};        /**< A broken stream may continue at another backend server. */
};

/** @brief Capacity of a service whose backend servers are engines. */
struct engine_capacity {
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};
    base::duration handle_ttl{0}; /**< Time for which state prefilled for another engine is held. */
};

struct traffic_service {
    std::string name;
    std::uint32_t max_connections{0}; /**< Per backend server, from all callers. */
    std::optional<engine_capacity> engine;
};

struct organisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned int> priority; /**< Overrides the priority of a route. */
    std::optional<limits::quota> quota{}; /**< None if its use is not limited. */
};

/** @brief Values of one version of the traffic configuration. */
struct traffic_values {
    std::uint64_t version{0};
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    /** Those whose keys are accepted; requests need no key only if there is no list at all. */
    std::optional<std::vector<organisation>> organisations;
    http::caller_limits limits;
};

/** @brief One version of routes, services and keys, indexed for look-ups. Immutable. */
class traffic_config {
public:
    explicit traffic_config(traffic_values values);
    traffic_config(const traffic_config &) = delete;
    traffic_config &operator=(const traffic_config &) = delete;
    ~traffic_config() = default;

    /**
     * @param host Value of the Host field, with or without port, in any case.
     * @param path Path without query.
     * @return The route of that host with the longest prefix of the path, or null.
     */
    [[nodiscard]] const traffic_route *find_route(std::string_view host, std::string_view path) const;

    [[nodiscard]] const traffic_service *find_service(std::string_view name) const;

    /** @return The organisation that holds a key, or null. */
    [[nodiscard]] const organisation *find_organisation(std::string_view key) const;

    /** @return True when requests on routes that are not public need a key. */
    [[nodiscard]] bool needs_key() const noexcept { return values_.organisations.has_value(); }

    [[nodiscard]] std::uint64_t version() const noexcept { return values_.version; }
    [[nodiscard]] const traffic_values &values() const noexcept { return values_; }

private:
    const traffic_values values_;
    /** Routes of each host, the longest prefix first. */
    std::map<std::string, std::vector<const traffic_route *>, std::less<>> routes_;
    std::map<std::string_view, const traffic_service *, std::less<>> services_;
    std::unordered_map<std::string_view, const organisation *> keys_;
};

using traffic_config_ptr = std::shared_ptr<const traffic_config>;

} // namespace dotterelstack::gateway
