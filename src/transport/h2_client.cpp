#include "transport/h2_client.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "http/status.hpp"
#include "http/time_limit.hpp"

namespace dotterelstack::transport {

namespace internal {

// Lowest rate at which the response of a blocking call is waited for, in bytes a second.
constexpr std::size_t min_receive_rate = std::size_t{64} << 10U;

struct pending_call {
    std::uint64_t id{0};
    http::request message;
    h2_handlers handlers;
};

class client_connection;

struct client_state : std::enable_shared_from_this<client_state> {
    client_state(event_loop &loop_ref, const base::clock &clock_ref, h2_timings timings_value)
        : loop{loop_ref}, clock{clock_ref}, timings{timings_value} {}

    event_loop &loop;
    const base::clock &clock;
    const h2_timings timings;
    std::atomic<std::uint64_t> next_id{1};
    bool stopped{false};
    std::map<std::string, std::shared_ptr<client_connection>, std::less<>> connections;
    std::set<std::shared_ptr<client_connection>> replaced; /**< Refuse new calls; their open calls go on. */
    std::map<std::uint64_t, std::weak_ptr<client_connection>> call_owner;

    void start_call(const std::string &address, pending_call call);
    void cancel(std::uint64_t id);
    void forget(const std::string &address, const client_connection *connection);
};

class client_connection final : public h2_connection {
public:
    client_connection(client_state &owner, std::string address)
        : h2_connection{owner.loop, owner.clock, owner.timings, side::client}, owner_{owner}, address_{
                                                                                                  std::move(address)} {}

    void connect() {
        const ACE_INET_Addr where{address_.c_str(), AF_INET};
        const ACE_Time_Value none{ACE_Time_Value::zero};
        ACE_SOCK_Connector connector;
        if (connector.connect(socket_, where, &none) == 0) {
            on_connected();
            return;
        }
        if (errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
            fail_connect();
            return;
        }
        connecting_ = true;
        reactor()->register_handler(socket_.get_handle(), this, ACE_Event_Handler::CONNECT_MASK);
        loop_.after(timings_.connect_timeout, [self = weak_from_this()] {
            if (const auto it = std::static_pointer_cast<client_connection>(self.lock()); it && it->connecting_) {
                it->fail_connect();
            }
        });
    }

    void add(pending_call call) {
        if (!is_open()) {
            waiting_.push_back(std::move(call));
            return;
        }
        submit_call(std::move(call));
    }

    void cancel(std::uint64_t id) {
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            if (it->id == id) {
                auto call = std::move(*it);
                waiting_.erase(it);
                call.handlers.on_end(h2_outcome::cancelled);
                return;
            }
        }
        for (auto &[stream, call] : calls_) {
            if (call.id == id) {
                call.cancelled = true;
                reset(stream, NGHTTP2_CANCEL);
                return;
            }
        }
    }

    int handle_input(ACE_HANDLE handle) override {
        if (connecting_) {
            finish_connect();
            return 0;
        }
        return h2_connection::handle_input(handle);
    }

    int handle_output(ACE_HANDLE handle) override {
        if (connecting_) {
            finish_connect();
            return 0;
        }
        return h2_connection::handle_output(handle);
    }

    /** @brief Ends a connection in whatever state it is. */
    void close_all() {
        if (is_open()) {
            shut(close_reason::local);
        } else if (!dead_) {
            fail_connect();
        }
    }

    [[nodiscard]] bool usable() const noexcept { return !dead_ && !draining(); }
    [[nodiscard]] bool dead() const noexcept { return dead_; }

protected:
    void on_headers(std::int32_t stream, http::field_list fields) override {
        const auto it = calls_.find(stream);
        if (it == calls_.end() || it->second.head_seen) {
            return;
        }
        int status = 0;
        if (!fields.empty() && fields.front().name == ":status") {
            status = http::to_status(fields.front().value).value_or(0);
            fields.erase(fields.begin());
        }
        if (status < http::first_final_status) {
            return;
        }
        it->second.head_seen = true;
        it->second.handlers.on_head(status, fields);
    }

    void on_data(std::int32_t stream, std::string_view part) override {
        if (const auto it = calls_.find(stream); it != calls_.end()) {
            it->second.handlers.on_data(part);
        }
    }

    void on_message_end(std::int32_t stream) override {
        if (const auto it = calls_.find(stream); it != calls_.end()) {
            it->second.ended = true;
        }
    }

    void on_stream_closed(std::int32_t stream, std::uint32_t code) override {
        const auto it = calls_.find(stream);
        if (it == calls_.end()) {
            return;
        }
        auto call = std::move(it->second);
        calls_.erase(it);
        owner_.call_owner.erase(call.id);
        h2_outcome outcome = h2_outcome::broken;
        if (call.cancelled) {
            outcome = h2_outcome::cancelled;
        } else if (call.ended) {
            outcome = h2_outcome::complete;
        } else if (code == NGHTTP2_REFUSED_STREAM) {
            outcome = h2_outcome::not_started;
        } else if (!call.sent) {
            outcome = h2_outcome::not_sent;
        }
        call.handlers.on_end(outcome);
    }

    void on_headers_sent(std::int32_t stream) override {
        if (const auto it = calls_.find(stream); it != calls_.end()) {
            it->second.sent = true;
        }
    }

    void on_shut(close_reason /*reason*/) override {
        dead_ = true;
        auto calls = std::move(calls_);
        calls_.clear();
        for (auto &[stream, call] : calls) {
            owner_.call_owner.erase(call.id);
            const auto cut = call.sent ? h2_outcome::broken : h2_outcome::not_sent;
            call.handlers.on_end(call.ended ? h2_outcome::complete : cut);
        }
        loop_.post([self = shared_from_this(), state = owner_.shared_from_this(), address = address_] {
            state->forget(address, static_cast<client_connection *>(self.get()));
        });
    }

private:
    struct active_call {
        std::uint64_t id{0};
        h2_handlers handlers;
        bool sent{false}; /**< Its head has left the session, which delays calls beyond the peer's limit. */
        bool head_seen{false};
        bool ended{false};
        bool cancelled{false};
    };

    void finish_connect() {
        connecting_ = false;
        int ec = 0;
        int n = sizeof(ec);
        socket_.get_option(SOL_SOCKET, SO_ERROR, &ec, &n);
        reactor()->remove_handler(socket_.get_handle(),
                                  ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        if (ec != 0) {
            fail_connect();
            return;
        }
        // Registering again inside the upcall of the old registration confuses the reactor; do it afterwards.
        loop_.post([self = shared_from_this()] { static_cast<client_connection *>(self.get())->on_connected(); });
    }

    void on_connected() {
        if (dead_) {
            return;
        }
        open(socket_);
        socket_.set_handle(ACE_INVALID_HANDLE);
        auto waiting = std::move(waiting_);
        waiting_.clear();
        for (auto &call : waiting) {
            submit_call(std::move(call));
        }
    }

    void fail_connect() {
        if (connecting_) {
            connecting_ = false;
            reactor()->remove_handler(socket_.get_handle(),
                                      ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        }
        dead_ = true;
        socket_.close();
        auto waiting = std::move(waiting_);
        waiting_.clear();
        for (auto &call : waiting) {
            owner_.call_owner.erase(call.id);
            call.handlers.on_end(h2_outcome::not_sent);
        }
        loop_.post([self = shared_from_this(), state = owner_.shared_from_this(), address = address_] {
            state->forget(address, static_cast<client_connection *>(self.get()));
        });
    }

    void submit_call(pending_call call) {
        if (!is_open()) {
            owner_.call_owner.erase(call.id);
            call.handlers.on_end(h2_outcome::not_sent);
            return;
        }
        http::field_list fields{{":method", call.message.method},
                                {":scheme", "http"},
                                {":authority", address_},
                                {":path", call.message.target}};
        fields.insert(fields.end(), call.message.fields.begin(), call.message.fields.end());
        const bool with_body = !call.message.body.empty();
        const auto stream = submit(0, fields, with_body);
        if (stream < 0) {
            owner_.call_owner.erase(call.id);
            call.handlers.on_end(h2_outcome::not_sent);
            return;
        }
        calls_[stream] = {call.id, std::move(call.handlers)};
        if (with_body) {
            append_body_unsent(stream, call.message.body);
        }
        send_pending();
    }

    client_state &owner_;
    const std::string address_;
    ACE_SOCK_Stream socket_;
    bool connecting_{false};
    bool dead_{false};
    std::vector<pending_call> waiting_;
    std::map<std::int32_t, active_call> calls_;
};

void client_state::start_call(const std::string &address, pending_call call) {
    if (stopped) {
        call.handlers.on_end(h2_outcome::not_sent);
        return;
    }
    auto it = connections.find(address);
    if (it == connections.end() || !it->second->usable()) {
        if (it != connections.end() && !it->second->dead()) {
            replaced.insert(it->second);
        }
        it = connections.insert_or_assign(address, std::make_shared<client_connection>(*this, address)).first;
        it->second->connect();
    }
    const auto connection = it->second;
    call_owner[call.id] = connection;
    connection->add(std::move(call));
}

void client_state::cancel(std::uint64_t id) {
    if (const auto it = call_owner.find(id); it != call_owner.end()) {
        if (const auto connection = it->second.lock()) {
            connection->cancel(id);
        }
    }
}

void client_state::forget(const std::string &address, const client_connection *connection) {
    const auto it = connections.find(address);
    if (it != connections.end() && it->second.get() == connection) {
        connections.erase(it);
    }
    std::erase_if(replaced, [connection](const auto &each) { return each.get() == connection; });
}

} // namespace internal

h2_client::h2_client(event_loop &loop, const base::clock &clock, h2_timings timings)
    : loop_{loop}, state_{std::make_shared<internal::client_state>(loop, clock, timings)} {}

h2_client::~h2_client() {
    stop();
}

std::uint64_t h2_client::send(std::string_view address, http::request message, h2_handlers handlers) {
    const auto id = state_->next_id++;
    auto call =
        std::make_shared<internal::pending_call>(internal::pending_call{id, std::move(message), std::move(handlers)});
    loop_.post(
        [state = state_, address = std::string{address}, call] { state->start_call(address, std::move(*call)); });
    return id;
}

void h2_client::cancel(std::uint64_t call) {
    loop_.post([state = state_, call] { state->cancel(call); });
}

base::result<http::response> h2_client::call(std::string_view address, http::request message, base::duration timeout) {
    struct waiter {
        std::mutex mutex;
        std::condition_variable signal;
        http::response answer;
        std::optional<h2_outcome> outcome;
        std::chrono::steady_clock::time_point heard_at{std::chrono::steady_clock::now()};
    };
    const auto it = std::make_shared<waiter>();
    h2_handlers handlers;
    handlers.on_head = [it](int status, const http::field_list &fields) {
        const std::scoped_lock lock{it->mutex};
        it->answer.status = status;
        it->answer.fields = fields;
    };
    handlers.on_data = [it](std::string_view part) {
        const std::scoped_lock lock{it->mutex};
        it->answer.body.append(part);
        it->heard_at = std::chrono::steady_clock::now();
    };
    handlers.on_end = [it](h2_outcome outcome) {
        const std::scoped_lock lock{it->mutex};
        it->outcome = outcome;
        it->signal.notify_one();
    };
    const auto begun = it->heard_at;
    const auto id = send(address, std::move(message), std::move(handlers));
    std::unique_lock lock{it->mutex};
    const auto limit = [&] {
        const auto whole = http::time_limit(timeout, it->answer.body.size(), internal::min_receive_rate);
        return std::min(begun + whole, it->heard_at + timeout);
    };
    const auto ended = [&it] { return it->outcome.has_value(); };
    while (!it->signal.wait_until(lock, limit(), ended) && std::chrono::steady_clock::now() < limit()) {
        // What has come meanwhile has extended the limit.
    }
    if (!it->outcome) {
        lock.unlock();
        cancel(id);
        return base::fail(base::error_kind::unknown_outcome, "no_answer",
                          std::string{address} + " did not answer in time; read its state before repeating");
    }
    if (it->outcome == h2_outcome::complete) {
        return std::move(it->answer);
    }
    if (it->outcome == h2_outcome::broken || it->outcome == h2_outcome::cancelled) {
        return base::fail(base::error_kind::unknown_outcome, "connection_lost",
                          "the connection to " + std::string{address} + " broke; read its state before repeating");
    }
    return base::fail(base::error_kind::unavailable, "not_reached",
                      std::string{address} + " was not reached; check that it is running");
}

void h2_client::stop() {
    loop_.run_and_wait([this] {
        state_->stopped = true;
        const auto copy = state_->connections;
        for (const auto &[address, it] : copy) {
            it->close_all();
        }
        const auto draining = state_->replaced;
        for (const auto &it : draining) {
            it->close_all();
        }
    });
    // Connections drop their last references in tasks posted while closing; wait for those, too.
    loop_.run_and_wait([] {});
}

} // namespace dotterelstack::transport
