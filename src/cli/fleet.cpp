#include "cli/fleet.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterelstack::cli::internal {

namespace {

using json = nlohmann::json;

/** Name by address. */
using entry_addresses = std::map<std::string, std::string>;

base::result<entry_addresses> read_host_list(const call &with) {
    if (!with.where.platform) {
        return boost::outcome_v2::failure(usage_error("name the platform with --platform or DOTTERELSTACK_PLATFORM"));
    }
    const http::request question{"GET", "/v1/hosts", {}, {}};
    BOOST_OUTCOME_TRY(answer, with.with.client.call(*with.where.platform, question, {}));
    if (answer.status != 200) {
        return base::fail(base::error_kind::unavailable, "host_list_failed",
                          "the platform answered GET /v1/hosts with status " + std::to_string(answer.status) +
                              "; check its address");
    }
    try {
        entry_addresses out;
        const auto hosts = json::parse(answer.body).at("hosts");
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

base::result<entry_status> read_status(const call &with, const std::string &address) {
    BOOST_OUTCOME_TRY(text, with.with.statuses.read(address));
    return decode_entry_status(text);
}

void add_use(std::vector<config::row_use> &out, const config::row_use &use) {
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

void add_backend(std::vector<config::backend_snapshot> &out, const config::backend_snapshot &fact) {
    const auto it =
        std::find_if(out.begin(), out.end(), [&fact](const auto &known) { return known.name == fact.name; });
    if (it == out.end()) {
        out.push_back(fact);
        return;
    }
    // Load reports lag; the higher use is the safer assumption for a risk report.
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
            add_use(out->rows, use);
        }
        for (const auto &fact : it.status.value().facts.backends) {
            add_backend(out->backends, fact);
        }
    }
    return out;
}

fleet_view read_fleet(const call &with) {
    fleet_view out;
    entry_addresses open;
    for (const auto &it : values_of(with, "entries")) {
        open.emplace(it, it);
    }
    if (with.where.platform || open.empty()) {
        auto listed = read_host_list(with);
        if (listed) {
            open.merge(listed.value());
        } else {
            out.host_list_error = std::move(listed).error();
        }
    }
    entry_addresses asked;
    while (!open.empty()) {
        const auto next = open.extract(open.begin());
        auto status = read_status(with, next.key());
        if (status) {
            for (const auto &peer : status.value().peers) {
                if (!asked.contains(peer) && peer != next.key()) {
                    open.emplace(peer, peer);
                }
            }
        }
        asked.emplace(next.key(), next.mapped());
        out.entries.push_back({status ? status.value().name : next.mapped(), next.key(), std::move(status)});
    }
    return out;
}

} // namespace dotterelstack::cli::internal
