#include "order/backend_ordering.hpp"

namespace dotterelstack::order {

order make_backend_order(std::string id, backend_action action, std::string failure_domain, std::string host,
                         std::string origin) {
    return {std::move(id), std::move(failure_domain), action == backend_action::start ? "start" : "stop",
            std::move(host), std::move(origin)};
}

std::string platform_journal_key(std::string_view failure_domain, std::string_view host) {
    return "order/platform/" + std::string{failure_domain} + "/" + std::string{host};
}

platform_order_sender::platform_order_sender(http::client &client, std::string address, base::duration send_timeout)
    : client_{client}, address_{std::move(address)}, send_timeout_{send_timeout} {}

base::result<order_progress> platform_order_sender::send(const order &item, std::uint64_t /*fence*/,
                                                         const http::final_check &check) {
    const nlohmann::json body{
        {"order_id", item.id}, {"action", item.kind}, {"failure_domain", item.backend}, {"host", item.argument}};
    const http::call_options limits{send_timeout_, send_timeout_, base::duration{0}};
    BOOST_OUTCOME_TRY(answer,
                      client_.call_checked(
                          address_, {"POST", "/v1/backend_orders", {{"Content-Type", "application/json"}}, body.dump()},
                          limits, check));
    if (answer.status >= 200 && answer.status < 300) {
        return order_progress::done;
    }
    if (answer.status == 429) {
        return base::fail(base::error_kind::refused, "platform_limited", "the platform limits orders; send it again");
    }
    if (answer.status >= 400 && answer.status < 500) {
        return order_progress::failed;
    }
    return base::fail(base::error_kind::unknown_outcome, "platform_failed",
                      "the platform answered status " + std::to_string(answer.status) + "; send the same order again");
}

} // namespace dotterelstack::order
