#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::agent {

/** @brief Whether a backend server is a model engine or a plain service. */
enum class backend_kind {
    model,
    plain
};

/** @brief One backend server on the agent's host. */
struct backend_options {
    std::string name;
    std::string service;
    backend_kind kind{backend_kind::model};
    std::string address;             /**< Host and port of its HTTP interface. */
    std::vector<std::string> models; /**< Empty for plain services. */
    bool honours_fence{false};       /**< Whether it rejects orders with an outdated fencing token. */
};

/** @brief Start-up options of an agent. */
struct agent_options {
    std::string host;
    std::string failure_domain;
    std::string listen{"127.0.0.1:0"};
    std::vector<backend_options> backends;
    base::duration load_poll_interval{std::chrono::milliseconds{250}};
    /** Longer than a delayed copy of a request can take to arrive. */
    base::duration request_retention{std::chrono::minutes{10}};
    /** Longest time without data from a backend server. */
    base::duration engine_idle_timeout{std::chrono::seconds{30}};
    /** Longest time of a stop in which the requests in progress may end. */
    base::duration drain_deadline{std::chrono::minutes{10}};
    /** Longest wait for an address that a predecessor which is stopping still uses. */
    base::duration address_wait{0};
};

} // namespace dotterelstack::agent
