#include "agent/order_dispatcher.hpp"

#include "log/event.hpp"

namespace dotterelstack::agent {

order_dispatcher::order_dispatcher(const agent_options &options, const base::clock &time, store::object_store &store,
                                   http::client &client)
    : clock_{time}, store_{store}, client_{client} {
    for (const auto &it : options.backends) {
        if (it.kind == backend_kind::model) {
            order::order_executor executor{time, order::executor_settings{.backend = it.name}};
            engines_.emplace(it.name, std::make_unique<engine_order>(engine_order{it.address, std::move(executor)}));
        }
    }
}

http::response order_dispatcher::handle(const http::request &order) {
    const auto parsed = order::parse_order_request(order.body);
    const auto it = parsed ? engines_.find(parsed.value().first.backend) : engines_.end();
    if (it == engines_.end()) {
        return {409,
                {{"content-type", "application/json"}, {"ds-ran", "no"}},
                R"({"error":{"code":"unknown_backend","message":"no such engine on this host","ran":"no"}})"};
    }
    auto &engine = *it->second;
    auto answer = order::execute_order(engine.executor, clock_, store_, client_, engine.address, order);
    if (answer.status == 409) {
        log::write("order_rejected", {{"backend", it->first}, {"order", parsed.value().first.id}});
    }
    return answer;
}

} // namespace dotterelstack::agent
