#include "entry/h2_agent_port.hpp"

#include <memory>
#include <nlohmann/json.hpp>

#include "base/json_message.hpp"

namespace dotterelstack::entry {

namespace internal {

call_end to_call_end(transport::h2_outcome it) {
    switch (it) {
    case transport::h2_outcome::complete:
        return call_end::complete;
    case transport::h2_outcome::not_sent:
        return call_end::not_sent;
    case transport::h2_outcome::not_started:
        return call_end::not_started;
    case transport::h2_outcome::cancelled:
        return call_end::cancelled;
    case transport::h2_outcome::broken:
        break;
    }
    return call_end::broken;
}

} // namespace internal

void h2_agent_port::run(call_id call, std::string_view address, http::request message) {
    transport::h2_handlers handlers;
    handlers.on_head = [this, call](int status, const http::field_list &fields) {
        events_.push(head_event{call, status, fields});
    };
    handlers.on_data = [this, call](std::string_view part) { events_.push(data_event{call, std::string{part}}); };
    handlers.on_end = [this, call](transport::h2_outcome outcome) {
        {
            const std::scoped_lock lock{mutex_};
            in_flight_.erase(call);
        }
        events_.push(end_event{call, internal::to_call_end(outcome), {}});
    };
    const std::scoped_lock lock{mutex_};
    in_flight_[call] = client_.send(address, std::move(message), std::move(handlers));
}

void h2_agent_port::reset(call_id call) {
    const std::scoped_lock lock{mutex_};
    if (const auto it = in_flight_.find(call); it != in_flight_.end()) {
        client_.cancel(it->second);
    }
}

void h2_agent_port::cancel(std::string_view address, std::string_view request, std::string_view incarnation) {
    http::request message;
    message.method = "POST";
    message.target = "/cancel";
    message.body = nlohmann::json{{"request", request}, {"incarnation", incarnation}}.dump();
    const auto body = std::make_shared<std::string>();
    transport::h2_handlers handlers;
    handlers.on_head = [](int /*status*/, const http::field_list & /*fields*/) {};
    handlers.on_data = [body](std::string_view part) { body->append(part); };
    handlers.on_end = [this, body, request = std::string{request}](transport::h2_outcome outcome) {
        std::string answer;
        if (outcome == transport::h2_outcome::complete) {
            answer = base::field_or(base::parse_message(*body), "outcome", std::string{});
        }
        events_.push(cancel_outcome_event{request, answer});
    };
    client_.send(address, std::move(message), std::move(handlers));
}

} // namespace dotterelstack::entry
