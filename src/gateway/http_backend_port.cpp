#include "gateway/http_backend_port.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Timeout of calls whose answer is ignored.
constexpr auto post_timeout = std::chrono::seconds{1};

call_end to_call_end(const base::error &ec) {
    if (ec.kind == base::error_kind::unavailable) {
        return call_end::not_sent;
    }
    return ec.code == "cancelled" ? call_end::cancelled : call_end::broken;
}

} // namespace internal

http_backend_port::http_backend_port(http::async_client &client, event_ring &events, base::duration connect_timeout,
                                     base::byte_budget &budget)
    : client_{client}, events_{events}, connect_timeout_{connect_timeout}, budget_{budget} {}

void http_backend_port::send(call_id call, std::string_view address, http::request message, base::duration timeout) {
    http::call_options options;
    options.connect_timeout = connect_timeout_;
    options.timeout = timeout;
    // A reused connection may be closed by the peer while the request is written, or still hold bytes of an earlier
    // answer. Both cost more than opening a new connection.
    options.fresh_connection = true;
    options.budget = &budget_;
    http::async_handlers handlers;
    handlers.on_head = [this, call](int status, const http::field_list &fields) {
        events_.push(head_event{call, status, fields});
    };
    handlers.on_data = [this, call](std::string_view part) {
        // Waits while the forwarder has much to read, so that servers that send faster than that are slowed down.
        return events_.push(data_event{call, std::string{part}}, part.size());
    };
    handlers.on_end = [this, call](base::result<http::response> answer) {
        {
            const std::scoped_lock lock{mutex_};
            transfers_.erase(call);
        }
        if (answer) {
            events_.push(end_event{call, call_end::complete, std::move(answer.value())});
        } else {
            events_.push(end_event{call, internal::to_call_end(answer.error()), {}});
        }
    };
    const std::scoped_lock lock{mutex_};
    transfers_[call] = client_.send(address, std::move(message), options, std::move(handlers));
}

void http_backend_port::cancel(call_id call) {
    const std::scoped_lock lock{mutex_};
    if (const auto it = transfers_.find(call); it != transfers_.end()) {
        client_.cancel(it->second);
    }
}

void http_backend_port::post(std::string_view address, http::request message) {
    http::call_options options;
    options.connect_timeout = connect_timeout_;
    options.timeout = internal::post_timeout;
    options.fresh_connection = true;
    client_.send(address, std::move(message), options, {{}, [](const base::result<http::response> &) {}, {}});
}

} // namespace dotterelstack::gateway
