#include "gateway/quota_bank_service.hpp"

#include "gateway/quota_codec.hpp"

namespace dotterelstack::gateway {

limits::quota_list quotas_of(const traffic_config &config, double extra_burst) {
    limits::quota_list out;
    if (config.values().organisations) {
        for (const auto &it : *config.values().organisations) {
            if (it.quota) {
                out.emplace_back(it.name, *it.quota);
                out.back().second.burst += extra_burst;
            }
        }
    }
    return out;
}

void quota_bank_service::on_config(const traffic_config &config) {
    const auto all = quotas_of(config, extra_burst_);
    const std::scoped_lock lock{mutex_};
    bank_.set_quotas(all);
}

void quota_bank_service::set_gateways(std::size_t n) {
    const std::scoped_lock lock{mutex_};
    bank_.set_gateways(n);
}

limits::quota_answer quota_bank_service::answer(const limits::quota_report &report) {
    const std::scoped_lock lock{mutex_};
    auto out = bank_.answer(report);
    for (const auto &it : out.rows) {
        const auto label = "organisation=\"" + it.organisation + "\"";
        metrics_.set("quota_lent", label, static_cast<double>(bank_.lent(it.organisation)));
    }
    return out;
}

http::response quota_bank_service::answer_peer(const http::request &message) {
    const auto report = parse_quota_report(message.body);
    if (!report) {
        return {400,
                {{"Content-Type", "application/json"}},
                R"({"error":{"code":"unreadable_report","message":"run the same release of the program everywhere"}})"};
    }
    return {200, {{"Content-Type", "application/json"}}, to_text(answer(*report))};
}

} // namespace dotterelstack::gateway
