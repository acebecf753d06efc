#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/events.hpp"
#include "gateway/quota_port.hpp"
#include "http/async_client.hpp"

namespace dotterelstack::gateway {

/** @brief Sends reports to the listeners of other gateways; answers come as `quota_answer_event`. */
class http_quota_port final : public quota_port {
public:
    /** @brief Answers a report that is for this gateway itself. */
    using local_bank = std::function<limits::quota_answer(const limits::quota_report &)>;

    /** @param client Transfers. @param events Takes the answers. Both must outlive this object. */
    http_quota_port(http::async_client &client, event_ring &events, local_bank local)
        : client_{client}, events_{events}, local_{std::move(local)} {}

    /** @brief Sets the address at which other gateways reach this one. Call it before the first report. */
    void set_own_address(std::string address) { own_address_ = std::move(address); }

    [[nodiscard]] std::optional<limits::quota_answer> send(std::string_view address, std::uint64_t call,
                                                           const limits::quota_report &report) override;

private:
    http::async_client &client_;
    event_ring &events_;
    const local_bank local_;
    std::string own_address_;
    std::atomic<bool> failed_{false}; /**< The last call, perhaps on a kept connection that has gone silent. */
};

} // namespace dotterelstack::gateway
