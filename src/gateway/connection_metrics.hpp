#pragma once

#include "http/connection_pool.hpp"
#include "metrics/registry.hpp"

namespace dotterelstack::gateway {

/** @brief Publishes the totals of the connections to backend servers. Single-threaded. */
class connection_metrics {
public:
    explicit connection_metrics(metrics::registry &to) noexcept : metrics_{to} {}

    /** @param now Totals since the start of the process. */
    void update(const http::connection_counts &now);

private:
    metrics::registry &metrics_;
    http::connection_counts before_;
};

} // namespace dotterelstack::gateway
