#pragma once

#include <string>

#include "http/client.hpp"
#include "order/order.hpp"

namespace dotterelstack::order {

/** @brief Way of one order to its receiver. Blocks. */
class order_sender {
public:
    order_sender() = default;
    order_sender(const order_sender &) = delete;
    order_sender &operator=(const order_sender &) = delete;
    virtual ~order_sender() = default;

    /**
     * @brief Sends an order, or asks again how far it has come: repetitions carry the same id.
     * @param item Order.
     * @param fence Fence under which it is sent.
     * @param check Called immediately before the last byte.
     * @return Progress. Errors: `refused` when the receiver or `check` said no and nothing was done, `unavailable`
     * when it was not reached, `unknown_outcome` otherwise.
     */
    [[nodiscard]] virtual base::result<order_progress> send(const order &item, std::uint64_t fence,
                                                            const http::final_check &check) = 0;
};

/** @brief Gate to the agent of a backend server (`POST /order`). */
class agent_order_sender final : public order_sender {
public:
    /**
     * @param client Transport; outlives the sender.
     * @param address Address of the agent.
     * @param send_timeout Deadline of the call; at most the lease's setting of that name.
     */
    agent_order_sender(http::client &client, std::string address, base::duration send_timeout);

    [[nodiscard]] base::result<order_progress> send(const order &item, std::uint64_t fence,
                                                    const http::final_check &check) override;

private:
    http::client &client_;
    std::string address_;
    base::duration longest_send_;
};

/** @return Name used in the agent's answer: `accepted`, `done` or `failed`. */
[[nodiscard]] std::string_view progress_name(order_progress progress) noexcept;

} // namespace dotterelstack::order
