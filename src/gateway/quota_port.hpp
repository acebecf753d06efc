#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "limits/quota_message.hpp"

namespace dotterelstack::gateway {

/** @brief How a report to a bank ended. */
enum class quota_call_end : std::uint8_t {
    answered,
    ended, /**< Nothing listens at the address: the bank's process has ended. */
    silent /**< No answer in time; the bank may have read the report. */
};

/** @brief Sends reports to banks. */
class quota_port {
public:
    quota_port() = default;
    quota_port(const quota_port &) = delete;
    quota_port &operator=(const quota_port &) = delete;
    virtual ~quota_port() = default;

    /**
     * @brief Sends a report without waiting for the answer, which is passed to `quota_client::on_end`.
     * @param address Of a gateway, perhaps of this one.
     * @param call Number of the call.
     * @return The answer if it is known at once, because this gateway is the bank; it is not passed on then.
     */
    [[nodiscard]] virtual std::optional<limits::quota_answer> send(std::string_view address, std::uint64_t call,
                                                                   const limits::quota_report &report) = 0;
};

} // namespace dotterelstack::gateway
