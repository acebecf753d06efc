#include "gateway/connection_metrics.hpp"

#include <string>

#include "log/event.hpp"

namespace dotterelstack::gateway {

void connection_metrics::update(const http::connection_counts &now) {
    const auto count = [this](std::string_view name, const std::string &label, std::uint64_t total,
                              std::uint64_t before) {
        if (total > before) {
            metrics_.count(name, label, total - before);
        }
    };
    count("server_connections_opened_total", "", now.opened, before_.opened);
    count("server_connections_reused_total", "", now.reused, before_.reused);
    count("kept_connection_failures_total", "", now.reuse_failed, before_.reuse_failed);
    for (std::size_t it = 0; it < http::drop_reasons; ++it) {
        const auto reason = to_string(static_cast<http::drop_reason>(it));
        count("server_connections_closed_total", "reason=\"" + std::string{reason} + "\"", now.dropped.at(it),
              before_.dropped.at(it));
    }
    metrics_.set("server_connections_idle", "", static_cast<double>(now.idle));
    if (now.reuse_failed > before_.reuse_failed) {
        log::write("kept_connection_failed", {{"calls", now.reuse_failed - before_.reuse_failed},
                                              {"reused", now.reused - before_.reused},
                                              {"longest_idle_ms", base::to_milliseconds(now.longest_idle)}});
    }
    before_ = now;
}

} // namespace dotterelstack::gateway
