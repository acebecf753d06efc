#include "order/order_sender.hpp"

#include <array>

#include "base/json_message.hpp"

namespace dotterelstack::order {

namespace internal {

constexpr std::array<std::string_view, 3> progress_names{"accepted", "done", "failed"};

base::result<order_progress> parse_progress(const http::response &answer, const std::string &id) {
    const auto body = base::parse_message(answer.body);
    if (body.is_object() && base::field_or(body, "order_id", std::string{}) == id) {
        const auto name = base::field_or(body, "progress", std::string{});
        for (std::size_t it = 0; it < progress_names.size(); ++it) {
            if (progress_names[it] == name) {
                return static_cast<order_progress>(it);
            }
        }
    }
    return base::fail(base::error_kind::unknown_outcome, "bad_order_answer",
                      "the agent's answer to order " + id + " cannot be read; send the same order again");
}

} // namespace internal

std::string_view progress_name(order_progress progress) noexcept {
    return internal::progress_names[static_cast<std::size_t>(progress)];
}

agent_order_sender::agent_order_sender(http::client &client, std::string address, base::duration send_timeout)
    : client_{client}, address_{std::move(address)}, send_timeout_{send_timeout} {}

base::result<order_progress> agent_order_sender::send(const order &item, std::uint64_t fence,
                                                      const http::final_check &check) {
    const nlohmann::json body{{"order_id", item.id},
                              {"fence", fence},
                              {"backend", item.backend},
                              {"kind", item.kind},
                              {"argument", item.argument}};
    const http::call_options limits{send_timeout_, send_timeout_, base::duration{0}};
    BOOST_OUTCOME_TRY(
        answer, client_.call_checked(address_, {"POST", "/order", {{"Content-Type", "application/json"}}, body.dump()},
                                     limits, check));
    if (answer.status == 200) {
        return internal::parse_progress(answer, item.id);
    }
    if (answer.status >= 400 && answer.status < 500) {
        return base::fail(base::error_kind::refused, "order_refused",
                          "the agent refused order " + item.id + ": " + answer.body);
    }
    return base::fail(base::error_kind::unknown_outcome, "order_unknown",
                      "the agent answered status " + std::to_string(answer.status) + " to order " + item.id +
                          "; send the same order again");
}

} // namespace dotterelstack::order
