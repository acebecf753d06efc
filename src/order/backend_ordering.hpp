#pragma once

#include <string>

#include "order/order_sender.hpp"

namespace dotterelstack::order {

/** @brief Action of an order for backend servers. */
enum class backend_action {
    start,
    stop
};

/**
 * @brief Builds an order for the platform. It is processed by an `order_journal` with `platform_journal_key`, so stored
 * intents, takeover and stable ids work as for orders to engines.
 * @param id Stable id, the same for every repetition.
 * @param host Host, or empty when the platform chooses one.
 * @param origin `planned` or `automatic`.
 */
[[nodiscard]] order make_backend_order(std::string id, backend_action action, std::string failure_domain,
                                       std::string host, std::string origin);

/** @return Key of the journal of one host, or of one failure domain when the platform chooses the host. */
[[nodiscard]] std::string platform_journal_key(std::string_view failure_domain, std::string_view host);

/** @brief Sends orders to the platform (`POST /v1/backend_orders`). An accepted order counts as done. */
class platform_order_sender final : public order_sender {
public:
    /**
     * @param client Transport; must outlive the sender.
     * @param address Address of the platform.
     * @param send_timeout Deadline of the call; at most the lease's `send_timeout`.
     */
    platform_order_sender(http::client &client, std::string address, base::duration send_timeout);

    [[nodiscard]] base::result<order_progress> send(const order &item, std::uint64_t fence,
                                                    const http::final_check &check) override;

private:
    http::client &client_;
    std::string address_;
    base::duration send_timeout_;
};

} // namespace dotterelstack::order
