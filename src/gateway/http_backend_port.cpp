#include "gateway/http_backend_port.hpp"

#include <algorithm>

namespace dotterelstack::gateway {

namespace internal {

// Timeout of calls whose answer is ignored.
constexpr auto post_timeout = std::chrono::seconds{1};

call_end to_call_end(const base::error &ec) {
    if (ec.kind == base::error_kind::unavailable) {
        return call_end::not_sent;
    }
    if (ec.code == "cancelled") {
        return call_end::cancelled;
    }
    return ec.code == "connection_lost" ? call_end::broken : call_end::cut_off;
}

} // namespace internal

http_backend_port::http_backend_port(http::async_client &client, http::pooled_client &kept,
                                     const backend_protocol &protocol, event_ring &events,
                                     base::duration connect_timeout, base::byte_budget &budget)
    : client_{client}, kept_{kept}, protocol_{protocol}, events_{events},
      connect_timeout_{connect_timeout}, budget_{budget} {}

http::async_handlers http_backend_port::handlers_of(call_id call) {
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
    return handlers;
}

void http_backend_port::send(call_id call, std::string_view address, http::request message, base::duration timeout) {
    http::call_options options;
    options.connect_timeout = connect_timeout_;
    // Zero means no limit.
    options.timeout = std::max<base::duration>(timeout, std::chrono::milliseconds{1});
    options.fresh_connection = true;
    options.budget = &budget_;
    const std::scoped_lock lock{mutex_};
    if (kept_addresses_.contains(address)) {
        transfers_[call] = {true, kept_.send(address, std::move(message), options, handlers_of(call),
                                             [this](const http::request &sent, const http::field_list &answer) {
                                                 return protocol_.owner_of(sent, answer);
                                             })};
    } else {
        transfers_[call] = {false, client_.send(address, std::move(message), options, handlers_of(call))};
    }
}

void http_backend_port::cancel(call_id call) {
    const std::scoped_lock lock{mutex_};
    const auto it = transfers_.find(call);
    if (it == transfers_.end()) {
        return;
    }
    if (it->second.kept) {
        kept_.cancel(it->second.id);
    } else {
        client_.cancel(it->second.id);
    }
}

void http_backend_port::set_servers(std::span<const http::pooled_server> all) {
    kept_.set_servers(all);
    const std::scoped_lock lock{mutex_};
    kept_addresses_.clear();
    for (const auto &it : all) {
        kept_addresses_.insert(it.address);
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
