#pragma once

#include <cstddef>
#include <mutex>

#include "base/clock.hpp"
#include "gateway/traffic_config.hpp"
#include "http/message.hpp"
#include "limits/quota_bank.hpp"
#include "metrics/registry.hpp"

namespace dotterelstack::gateway {

/** @param extra_burst Units that are added to each burst. @return The quotas of a configuration. */
[[nodiscard]] limits::quota_list quotas_of(const traffic_config &config, double extra_burst);

/** @brief The bank that this gateway is for those that report to it. Thread-safe. */
class quota_bank_service {
public:
    /**
     * @param time Clock. @param metrics Takes what is lent. Both must outlive this object.
     * @param extra_burst Units that are added to each burst.
     */
    quota_bank_service(const base::clock &time, metrics::registry &metrics, double extra_burst = 0)
        : extra_burst_{extra_burst}, metrics_{metrics}, bank_{time} {}

    /** @brief Takes the quotas of a configuration. */
    void on_config(const traffic_config &config);

    /** @brief Sets the number of gateways, by host name. */
    void set_gateways(std::size_t n);

    [[nodiscard]] limits::quota_answer answer(const limits::quota_report &report);

    /** @brief Answers a report that another gateway has sent. */
    [[nodiscard]] http::response answer_peer(const http::request &message);

private:
    const double extra_burst_;
    metrics::registry &metrics_;
    std::mutex mutex_;
    limits::quota_bank bank_;
};

} // namespace dotterelstack::gateway
