#pragma once

#include <map>
#include <memory>
#include <string>

#include "agent/agent_daemon.hpp"
#include "agent/options.hpp"
#include "base/clock.hpp"
#include "http/client.hpp"
#include "order/order_executor.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::agent {

/** @brief Dispatches the planner's orders to the engines of this host; each engine has its own executor. */
class order_dispatcher final : public order_handler {
public:
    order_dispatcher(const agent_options &options, const base::clock &time, store::object_store &store,
                     http::client &client);

    [[nodiscard]] http::response handle(const http::request &order) override;

private:
    struct engine_order {
        std::string address;
        order::order_executor executor;
    };

    const base::clock &clock_;
    store::object_store &store_;
    http::client &client_;
    std::map<std::string, std::unique_ptr<engine_order>, std::less<>> engines_;
};

} // namespace dotterelstack::agent
