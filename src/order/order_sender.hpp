#pragma once

#include <string>

#include "http/client.hpp"
#include "order/order.hpp"

namespace dotterelstack::order {

/** @brief Sends orders to a receiver. Calls block. */
class order_sender {
public:
    order_sender() = default;
    order_sender(const order_sender &) = delete;
    order_sender &operator=(const order_sender &) = delete;
    virtual ~order_sender() = default;

    /**
     * @brief Sends an order, or sends it again with the same id to query its progress.
     * @param item Order.
     * @param fence Fence under which it is sent.
     * @param check Called immediately before the last byte is sent.
     * @return Progress. Errors: `refused` when the receiver or `check` refused the order and nothing was done,
     * `unavailable` when the receiver was not reached, `unknown_outcome` otherwise.
     */
    [[nodiscard]] virtual base::result<order_progress> send(const order &item, std::uint64_t fence,
                                                            const http::final_check &check) = 0;
};

/** @brief Sends orders to the agent of a backend server (`POST /order`). */
class agent_order_sender final : public order_sender {
public:
    /**
     * @param client Transport; must outlive the sender.
     * @param address Address of the agent.
     * @param send_timeout Deadline of the call; at most the lease's `send_timeout`.
     */
    agent_order_sender(http::client &client, std::string address, base::duration send_timeout);

    [[nodiscard]] base::result<order_progress> send(const order &item, std::uint64_t fence,
                                                    const http::final_check &check) override;

private:
    http::client &client_;
    std::string address_;
    base::duration send_timeout_;
};

/** @return Name used in the agent's response: `accepted`, `done` or `failed`. */
[[nodiscard]] std::string_view progress_name(order_progress progress) noexcept;

} // namespace dotterelstack::order
