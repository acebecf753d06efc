#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dotterelstack::config {

struct organisation {
    std::string name;
    std::string description;

    bool operator==(const organisation &) const = default;
};

/** @brief API key of a caller; only its hash is stored. Keys are withdrawn, but never removed. */
struct key {
    std::string id;
    std::string organisation;
    std::string sha256; /**< 64 lower-case hexadecimal digits. */
    bool withdrawn{false};

    bool operator==(const key &) const = default;
};

enum class service_kind {
    model,
    plain
};

/** @brief Properties of the calls of a service that match a method and a path pattern. */
struct route {
    std::string method;
    std::string path;       /**< Pattern; `*` matches one segment, a final `**` any number of segments. */
    bool repeatable{false}; /**< The call may be executed more than once. */
    bool is_public{false};  /**< Served without a key. */

    bool operator==(const route &) const = default;
};

enum class key_place {
    header,
    query,
    cookie,
    body
};

/** @brief A place besides `Authorization` in which callers send their key; it is removed before the request is sent on.
 */
struct key_location {
    key_place place{key_place::header};
    std::string name; /**< Header, parameter, cookie or body field. */

    bool operator==(const key_location &) const = default;
};

struct service {
    std::string name;
    service_kind kind{service_kind::model};
    std::vector<std::string> models; /**< At least one for a model service, none for a plain service. */
    bool is_public{false};           /**< All routes are served without a key. */
    std::vector<route> routes;       /**< Calls that match no route are not repeatable. */
    std::vector<key_location> key_locations;

    bool operator==(const service &) const = default;
};

/** @brief Weight and limits of one organisation at one service. */
struct row {
    std::string organisation;
    std::string service;
    double weight{1};
    std::uint64_t concurrency{1};
    double requests_per_second{1};
    double prompt_tokens_per_second{0};    /**< 0 for plain services. */
    double generated_tokens_per_second{0}; /**< 0 for plain services. */
    std::uint64_t max_queue{0};            /**< Maximum number of queued requests; further requests are refused. */

    bool operator==(const row &) const = default;
};

enum class planned_kind {
    drain,
    set_role,
    replace
};
enum class planned_state {
    requested,
    running,
    done,
    failed,
    cancelled
};

/** @brief A change of the fleet that an operator requested and the planner carries out. */
struct planned_change {
    std::string id;
    planned_kind kind{planned_kind::drain};
    std::string backend; /**< Exactly one of `backend` and `host` is set. */
    std::string host;
    std::string failure_domain;
    std::string argument; /**< New role for `set_role`; otherwise empty. */
    std::string requested_by;
    planned_state state{planned_state::requested};
    std::string progress; /**< Set by the planner; for display only. */

    bool operator==(const planned_change &) const = default;
};

using row_name = std::pair<std::string, std::string>; /**< Organisation, service. */

/** @brief Everything that operators declare, by name. */
struct declarations {
    std::map<std::string, organisation, std::less<>> organisations;
    std::map<std::string, key, std::less<>> keys; /**< By id. */
    std::map<std::string, service, std::less<>> services;
    std::map<row_name, row> rows;
    std::map<std::string, planned_change, std::less<>> planned; /**< By id. */

    bool operator==(const declarations &) const = default;
};

} // namespace dotterelstack::config
