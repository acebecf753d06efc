#include "order/order_executor.hpp"

#include "lease/lease_record.hpp"
#include "order/order_sender.hpp"

namespace dotterelstack::order {

namespace internal {

executor_action refuse(std::string code, std::string message) {
    return {executor_step::answer, base::fail(base::error_kind::refused, std::move(code), std::move(message)), {}};
}

executor_action refuse(const base::error &cause) {
    return refuse(cause.code, cause.message);
}

executor_action report(order_progress progress) {
    return {executor_step::answer, progress, {}};
}

http::response error_response(const base::error &cause) {
    const int status = cause.kind == base::error_kind::refused ? 409 : 503;
    const nlohmann::json body{{"error", {{"code", cause.code}, {"message", cause.message}}}};
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace internal

order_executor::order_executor(const base::clock &clock, executor_settings settings)
    : clock_{clock}, settings_{std::move(settings)}, guard_{clock, settings_.margin},
      late_copy_until_{clock.now() + settings_.late_copy_wait} {}

executor_action order_executor::on_order(order item, std::uint64_t fence) {
    item_ = std::move(item);
    fence_ = fence;
    check_.reset();
    if (item_.backend != settings_.backend) {
        return internal::refuse("wrong_backend", "this agent does not serve " + item_.backend);
    }
    if (clock_.now() < late_copy_until_ && item_.id != unanswered_order_) {
        return internal::refuse("late_copy_possible",
                                "an earlier order may still reach the engine; send the order again later");
    }
    return {executor_step::read_store, order_progress::accepted, {}};
}

executor_action order_executor::on_store_read(const base::result<std::optional<store::object>> &lease,
                                              const base::result<std::optional<store::object>> &journal,
                                              base::instant asked) {
    if (!lease || !journal) {
        return internal::refuse("store_unreadable", "lease and journal cannot be read; send the order again later");
    }
    const auto reading = guard_.on_lease_read(lease.value(), asked);
    if (!reading) {
        return internal::refuse(reading.error());
    }
    if (!journal.value()) {
        return internal::refuse("not_in_journal", "the order is not stored in the journal; store the intent first");
    }
    const auto entry = parse_entry(*journal.value());
    if (!entry) {
        return internal::refuse(entry.error());
    }
    guard_.observe(entry.value().fence);
    const auto admitted = guard_.admit(fence_, reading.value());
    if (!admitted) {
        return internal::refuse(admitted.error());
    }
    const auto &stored = entry.value();
    const bool same = stored.item.id == item_.id && stored.item.kind == item_.kind &&
                      stored.item.argument == item_.argument && stored.fence == fence_;
    if (!same || stored.state == entry_state::settled) {
        return internal::refuse("not_the_open_order", "the journal holds another or a settled order; read it again");
    }
    check_ = admitted.value();
    return {executor_step::read_engine, order_progress::accepted, {}};
}

executor_action order_executor::on_engine_state(const base::result<engine_state> &state) {
    if (!state) {
        return internal::refuse("engine_state_unreadable", "the engine's state cannot be read; send the order again");
    }
    if (state.value().order_id == item_.id) {
        return internal::report(state.value().changing ? order_progress::accepted : order_progress::done);
    }
    if (state.value().changing) {
        return internal::refuse("engine_changing", "the engine is still changing; send the order again later");
    }
    if (state.value().fence > fence_) {
        return internal::refuse("old_fence", "the engine has seen a higher fence");
    }
    return {executor_step::send, order_progress::accepted, check_};
}

executor_action order_executor::on_engine_answer(const base::result<http::response> &answer) {
    if (!answer) {
        if (answer.error().kind != base::error_kind::unknown_outcome) {
            return internal::refuse(answer.error());
        }
        unanswered_order_ = item_.id;
        late_copy_until_ = clock_.now() + settings_.late_copy_wait;
        return {executor_step::answer,
                base::fail(base::error_kind::unknown_outcome, "engine_silent",
                           "the engine did not answer; send the same order again to learn its state"),
                {}};
    }
    const int status = answer.value().status;
    if (status >= 200 && status < 300) {
        return internal::report(order_progress::accepted);
    }
    if (status == 409 || status == 429 || status >= 500) {
        return internal::refuse("engine_refused", "the engine answered status " + std::to_string(status) +
                                                      "; send the order again later");
    }
    return internal::report(order_progress::failed);
}

base::result<std::pair<order, std::uint64_t>> parse_order_request(std::string_view body) {
    try {
        const auto value = nlohmann::json::parse(body);
        return std::pair{order{value.at("order_id").get<std::string>(), value.at("backend").get<std::string>(),
                               value.at("kind").get<std::string>(), value.at("argument").get<std::string>(), ""},
                         value.at("fence").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::refused, "bad_order",
                          std::string{"the order cannot be read: "} + ec.what());
    }
}

base::result<engine_state> parse_engine_state(const http::response &answer) {
    const auto value = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !value.is_object() || !value.contains("changing")) {
        return base::fail(base::error_kind::unavailable, "bad_engine_state",
                          "the engine sent no readable state; check its version");
    }
    try {
        engine_state out;
        out.changing = value.at("changing").get<bool>();
        const auto id = value.find("order_id");
        out.order_id = id != value.end() && id->is_string() ? id->get<std::string>() : std::string{};
        const auto fence = value.find("fence");
        out.fence = fence != value.end() && fence->is_number() ? fence->get<std::uint64_t>() : 0;
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::unavailable, "bad_engine_state", ec.what());
    }
}

http::response execute_order(order_executor &executor, const base::clock &clock, store::object_store &store,
                             http::client &client, std::string_view engine, const http::request &message) {
    auto parsed = parse_order_request(message.body);
    if (!parsed) {
        return internal::error_response(parsed.error());
    }
    auto action = executor.on_order(std::move(parsed.value().first), parsed.value().second);
    const auto &item = executor.current();
    const auto timeout = executor.settings().engine_timeout;
    const http::call_options limits{timeout, timeout, base::duration{0}};
    while (action.step != executor_step::answer) {
        if (action.step == executor_step::read_store) {
            const auto asked = clock.now();
            const auto lease = store.get(lease::lease_key("planner"));
            const auto journal = store.get(journal_key(item.backend));
            action = executor.on_store_read(lease, journal, asked);
        } else if (action.step == executor_step::read_engine) {
            auto answer = client.call(engine, {"GET", "/v1/state", {}, ""}, limits);
            action = executor.on_engine_state(answer ? parse_engine_state(answer.value())
                                                     : base::result<engine_state>{answer.error()});
        } else {
            const nlohmann::json body{
                {"order_id", item.id}, {"fence", executor.fence()}, {"kind", item.kind}, {"argument", item.argument}};
            action = executor.on_engine_answer(
                client.call_checked(engine, {"POST", "/v1/orders", {{"Content-Type", "application/json"}}, body.dump()},
                                    limits, *action.check));
        }
    }
    if (!action.answer) {
        return internal::error_response(action.answer.error());
    }
    const nlohmann::json body{{"order_id", item.id}, {"progress", progress_name(action.answer.value())}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace dotterelstack::order
