#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "gateway/gateway_group.hpp"
#include "gateway/quota_port.hpp"
#include "limits/quota_ledger.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Reports this gateway's use of quotas to the bank, which is the first of the gateways by rendezvous hashing of
 * their names, or the next one while that does not answer.
 *
 * Driven by events on the forwarder's thread. Sends nothing without a quota in the configuration. Not thread-safe.
 */
class quota_client {
public:
    /** @param time Clock. @param ledger Use of the quotas. @param port Sends the reports; null for none. All must
     * outlive this object. */
    quota_client(const base::clock &time, limits::quota_ledger &ledger, quota_port *port)
        : time_{time}, ledger_{ledger}, port_{port} {}

    /** @brief Sets the gateways of the site. */
    void set_group(const gateway_group &all);

    /** @brief Sends a report as soon as it may, instead of at the end of the interval. */
    void hurry();

    /** @return Number of the latest call. What is asked from now on is part of later ones. */
    [[nodiscard]] std::uint64_t last_call() const noexcept { return call_; }

    /** @return Number of the latest call whose answer was taken. */
    [[nodiscard]] std::uint64_t last_answered() const noexcept { return answered_; }

    /** @brief Sends what is due. Call it about every 25 ms while requests are in progress, at least every 200 ms. */
    void tick();

    /** @brief A report was answered or has failed. */
    void on_end(std::uint64_t call, quota_call_end how, const std::optional<limits::quota_answer> &answer);

private:
    void send();
    void probe();
    void pass(const limits::quota_report &report, std::string_view address);
    void on_lost(bool ended);
    void use(std::size_t bank);
    void await_former_bank();

    const base::clock &time_;
    limits::quota_ledger &ledger_;
    quota_port *const port_;
    std::string name_;
    std::string incarnation_;
    std::vector<named_gateway> banks_; /**< In their order. */
    std::size_t bank_{0};
    std::uint64_t call_{0};
    std::uint64_t answered_{0};
    bool pending_{false}; /**< The call `call_` has not ended. */
    bool is_probe_{false};
    bool hurried_{false};
    unsigned int missed_{0};
    base::instant sent_at_{};
    base::instant due_{};
    base::instant not_before_{}; /**< No report until then. */
    base::instant probe_due_{};
};

} // namespace dotterelstack::gateway
