#include "cli/fleet.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterelstack::cli::internal {

namespace {

using json = nlohmann::json;

/** Entry names by address. */
using entry_addresses = std::map<std::string, std::string>;

base::result<entry_addresses> read_host_list(const command_context &context) {
    if (!context.endpoints.platform) {
        return boost::outcome_v2::failure(usage_error("name the platform with --platform or DOTTERELSTACK_PLATFORM"));
    }
    const http::request host_list_request{"GET", "/v1/hosts", {}, {}};
    BOOST_OUTCOME_TRY(response, context.env.client.call(*context.endpoints.platform, host_list_request, {}));
    if (response.status != 200) {
        return base::fail(base::error_kind::unavailable, "host_list_failed",
                          "the platform answered GET /v1/hosts with status " + std::to_string(response.status) +
                              "; check its address");
    }
    try {
        entry_addresses out;
        const auto hosts = json::parse(response.body).at("hosts");
        for (const auto &it : hosts) {
            if (it.at("role") == "entry") {
                out.emplace(it.at("address").get<std::string>(), it.at("host").get<std::string>());
            }
        }
        return out;
    } catch (const json::exception &ec) {
        return base::fail(base::error_kind::unavailable, "host_list_failed",
                          std::string{"the platform's host list is malformed ("} + ec.what() + "); check its address");
    }
}

base::result<entry_status> read_status(const command_context &context, const std::string &address) {
    BOOST_OUTCOME_TRY(text, context.env.statuses.read(address));
    return decode_entry_status(text);
}

void merge_use(std::vector<config::row_use> &out, const config::row_use &use) {
    const auto it = std::find_if(out.begin(), out.end(), [&use](const auto &known) {
        return known.organisation == use.organisation && known.service == use.service;
    });
    if (it == out.end()) {
        out.push_back(use);
        return;
    }
    it->running += use.running;
    it->requests_per_second += use.requests_per_second;
    it->prompt_tokens_per_second += use.prompt_tokens_per_second;
    it->generated_tokens_per_second += use.generated_tokens_per_second;
}

void merge_backend(std::vector<config::backend_snapshot> &out, const config::backend_snapshot &fact) {
    const auto it =
        std::find_if(out.begin(), out.end(), [&fact](const auto &known) { return known.name == fact.name; });
    if (it == out.end()) {
        out.push_back(fact);
        return;
    }
    // Load reports lag behind, so the risk report conservatively assumes the highest reported use.
    it->used_blocks = std::max(it->used_blocks, fact.used_blocks);
    it->draining = it->draining || fact.draining;
}

} // namespace

std::optional<config::fleet_snapshot> fleet_view::facts() const {
    std::optional<config::fleet_snapshot> out;
    for (const auto &it : entries) {
        if (!it.status) {
            continue;
        }
        if (!out) {
            out.emplace();
        }
        for (const auto &use : it.status.value().facts.rows) {
            merge_use(out->rows, use);
        }
        for (const auto &fact : it.status.value().facts.backends) {
            merge_backend(out->backends, fact);
        }
    }
    return out;
}

fleet_view read_fleet(const command_context &context) {
    fleet_view out;
    entry_addresses pending;
    for (const auto &it : values_of(context, "entries")) {
        pending.emplace(it, it);
    }
    if (context.endpoints.platform || pending.empty()) {
        auto listed = read_host_list(context);
        if (listed) {
            pending.merge(listed.value());
        } else {
            out.host_list_error = std::move(listed).error();
        }
    }
    entry_addresses visited;
    while (!pending.empty()) {
        const auto next = pending.extract(pending.begin());
        auto status = read_status(context, next.key());
        if (status) {
            for (const auto &peer : status.value().peers) {
                if (!visited.contains(peer) && peer != next.key()) {
                    pending.emplace(peer, peer);
                }
            }
        }
        visited.emplace(next.key(), next.mapped());
        out.entries.push_back({status ? status.value().name : next.mapped(), next.key(), std::move(status)});
    }
    return out;
}

} // namespace dotterelstack::cli::internal
