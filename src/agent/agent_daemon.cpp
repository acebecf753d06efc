#include "agent/agent_daemon.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

#include "agent/completion_relay.hpp"
#include "base/json_message.hpp"
#include "base/ring.hpp"
#include "log/event.hpp"

namespace dotterelstack::agent {

using nlohmann::json;

namespace internal {

// Orders are rare; a full queue means that the planner is repeating requests, so that further ones are rejected.
constexpr std::size_t order_ring_limit = 16;
// Longest time that a graceful stop waits for entries to receive responses that are already complete.
constexpr auto response_flush_timeout = std::chrono::seconds{30};
constexpr auto running_poll = std::chrono::milliseconds{20};
// Requests that have just begun may not have a transfer to cancel yet.
constexpr auto cancel_interval = std::chrono::milliseconds{200};

const http::field_list json_type{{"content-type", "application/json"}};

http::response error_response(int status, std::string_view code, std::string_view message, bool not_run) {
    const json body{{"error", {{"code", code}, {"message", message}, {"ran", not_run ? "no" : "unknown"}}}};
    http::response out{status, json_type, body.dump()};
    if (not_run) {
        out.fields.push_back({"ds-ran", "no"});
    }
    return out;
}

std::string header_value(const http::request &message, std::string_view name) {
    return std::string{http::find_field(message.fields, name).value_or("")};
}

template<typename Number>
Number header_number(const http::request &message, std::string_view name, Number fallback) {
    const auto text = http::find_field(message.fields, name).value_or("");
    Number out = fallback;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc{} && end == text.data() + text.size() ? out : fallback;
}

http::response refusal(admit_decision why) {
    switch (why) {
    case admit_decision::wrong_incarnation:
        return error_response(409, "wrong_incarnation", "the agent has restarted; read its status and send again",
                              true);
    case admit_decision::cancelled:
        return error_response(409, "cancelled", "the request was cancelled before it arrived", true);
    case admit_decision::draining:
        return error_response(503, "draining", "the agent takes no new work; choose another backend server", true);
    case admit_decision::duplicate:
    case admit_decision::start:
        break;
    }
    return error_response(409, "duplicate", "this attempt was received before; it may have run", false);
}

std::string_view to_string(cancel_outcome it) {
    switch (it) {
    case cancel_outcome::never_starts:
        return "never_starts";
    case cancel_outcome::started:
        return "started";
    case cancel_outcome::finished:
        return "finished";
    case cancel_outcome::other_incarnation:
        break;
    }
    return "other_incarnation";
}

} // namespace internal

struct agent_daemon::active_request {
    transport::h2_stream stream;
    const backend_options &backend;
    std::string request;
    std::uint32_t attempt{0};
    std::string key{};
    std::uint64_t transfer{0};
    bool is_call{false};
    std::unique_ptr<completion_relay> relay{};
};

/**
 * Executes orders sequentially on a dedicated thread, because handling an order blocks. Answers go over the event loop,
 * so the thread has to be stopped before the loop is.
 */
class agent_daemon::order_worker {
public:
    explicit order_worker(order_handler &handler)
        : ring_{internal::order_ring_limit}, thread_{[this, &handler] {
              while (auto it = ring_.pop()) {
                  it->respond(stopping_ ? internal::refusal(admit_decision::draining) : handler.handle(it->message()));
              }
          }} {}
    order_worker(const order_worker &) = delete;
    order_worker &operator=(const order_worker &) = delete;
    order_worker(order_worker &&) = delete;
    order_worker &operator=(order_worker &&) = delete;
    ~order_worker() { stop(); }

    /** Waits for the order in progress; those that wait, and later ones, are refused. */
    void stop() {
        stopping_ = true;
        ring_.close();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void take(const transport::h2_stream &stream) {
        if (stopping_) {
            stream.respond(internal::refusal(admit_decision::draining));
        } else if (!ring_.try_push(stream)) {
            stream.respond(internal::error_response(503, "overloaded", "too many orders wait; repeat later", true));
        }
    }

private:
    std::atomic<bool> stopping_{false};
    base::bounded_ring<transport::h2_stream> ring_;
    std::thread thread_;
};

agent_daemon::agent_daemon(agent_options options, const base::clock &time, std::string incarnation,
                           http::client &client, order_handler &orders)
    : options_{std::move(options)}, clock_{time}, client_{client}, table_{time, std::move(incarnation),
                                                                          options_.request_retention},
      poller_{options_, client}, orders_{std::make_unique<order_worker>(orders)}, server_{loop_, time} {}

agent_daemon::~agent_daemon() {
    poller_.stop();
    orders_->stop();
    transfers_.stop();
    server_.stop();
    loop_.stop();
}

base::result<std::string> agent_daemon::start() {
    BOOST_OUTCOME_TRY(listeners, net::open_listeners({options_.listen}, options_.address_wait));
    poller_.start([this] { cancel_abandoned(); });
    return server_.listen(std::move(listeners.front()), [this](const transport::h2_stream &stream) { route(stream); });
}

void agent_daemon::drain_and_stop() {
    const auto deadline = clock_.now() + options_.drain_deadline;
    {
        const std::scoped_lock lock{mutex_};
        table_.set_draining(true);
    }
    server_.quiesce();
    orders_->stop();
    if (!wait_for_running(deadline)) {
        log::write("stop_deadline_passed", {{"active", running()}});
        const auto until = clock_.now() + internal::response_flush_timeout;
        do {
            cancel_transfers([](const auto & /*all*/) { return true; });
        } while (!wait_for_running(clock_.now() + internal::cancel_interval) && clock_.now() < until);
    }
    // Completed responses may still be in the send buffers of connections to slow readers.
    (void)server_.drain(clock_.now() + internal::response_flush_timeout);
}

bool agent_daemon::wait_for_running(base::instant until) const {
    while (running() > 0 && clock_.now() < until) {
        std::this_thread::sleep_for(internal::running_poll);
    }
    return running() == 0;
}

std::size_t agent_daemon::running() const {
    const std::scoped_lock lock{mutex_};
    return active_.size();
}

void agent_daemon::route(const transport::h2_stream &stream) {
    const auto &message = stream.message();
    const auto path = message.path();
    if (path == "/run") {
        run(stream);
    } else if (path == "/cancel") {
        cancel(stream);
    } else if (path == "/status") {
        stream.respond(status());
    } else if (path == "/order") {
        orders_->take(stream);
    } else {
        stream.respond(internal::error_response(404, "unknown_path", "the agent has no such path", true));
    }
}

const backend_options *agent_daemon::find_backend(std::string_view name) const noexcept {
    const auto it = std::ranges::find(options_.backends, name, &backend_options::name);
    return it == options_.backends.end() ? nullptr : &*it;
}

void agent_daemon::run(const transport::h2_stream &stream) {
    const auto &message = stream.message();
    const auto *backend = find_backend(internal::header_value(message, "ds-backend"));
    if (backend == nullptr) {
        stream.respond(internal::error_response(409, "unknown_backend", "no such backend server on this host", true));
        return;
    }
    const auto it = std::make_shared<active_request>(
        active_request{stream, *backend, internal::header_value(message, "ds-request"),
                       internal::header_number<std::uint32_t>(message, "ds-attempt", 0)});
    it->key = it->request + "/" + std::to_string(it->attempt);
    it->is_call = internal::header_value(message, "ds-kind") == "call";
    auto decision = admit_decision::start;
    {
        const std::scoped_lock lock{mutex_};
        decision = table_.admit(it->request, it->attempt, internal::header_value(message, "ds-incarnation"));
        if (decision == admit_decision::start) {
            active_.emplace(it->key, it);
        }
    }
    if (decision != admit_decision::start) {
        stream.respond(internal::refusal(decision));
    } else if (it->is_call) {
        start_call(it);
    } else {
        start_completion(it);
    }
}

void agent_daemon::start_completion(const std::shared_ptr<active_request> &it) {
    const auto &message = it->stream.message();
    const auto offset = internal::header_number<std::uint64_t>(message, "ds-offset", 0);
    const auto priority = internal::header_number<std::int64_t>(message, "ds-priority", 0);
    auto outgoing = engine_request(message.body, internal::header_value(message, "ds-path"), it->key, offset, priority);
    if (!outgoing) {
        finish_request(it);
        it->stream.respond(internal::error_response(409, outgoing.error().code, outgoing.error().message, true));
        return;
    }
    it->relay = std::make_unique<completion_relay>(it->request, it->attempt, offset, [it](std::string_view line) {
        it->stream.start(200, {{"content-type", "application/x-ndjson"}});
        return it->stream.write(line);
    });
    http::call_options options;
    options.timeout = base::duration{0};
    options.idle_timeout = options_.engine_idle_timeout;
    http::async_handlers handlers;
    handlers.on_data = [it](std::string_view part) { return it->relay->feed(part); };
    handlers.on_end = [this, it](const base::result<http::response> &answer) {
        finish_request(it);
        if (it->relay->complete()) {
            it->stream.finish();
        } else if (!answer && answer.error().kind == base::error_kind::unavailable) {
            it->stream.respond(
                internal::error_response(503, "backend_unreachable", "the engine does not accept connections", true));
        } else if (answer && answer.value().status != 200) {
            // Any status but 500 means that the engine rejected the request before it generated tokens; the error code
            // and the status tell the entry why.
            const bool not_run = answer.value().status != 500;
            it->stream.respond(internal::error_response(
                503, answer.value().status == 429 ? "backend_busy" : "backend_refused",
                "the engine refused the request with status " + std::to_string(answer.value().status), not_run));
        } else {
            it->stream.abort();
        }
        // The relay's callback owns the request, which owns the relay; the reset breaks this reference cycle.
        it->relay.reset();
    };
    const auto id = transfers_.send(it->backend.address, std::move(outgoing.value()), options, std::move(handlers));
    const std::scoped_lock lock{mutex_};
    it->transfer = id;
}

void agent_daemon::start_call(const std::shared_ptr<active_request> &it) {
    const auto &message = it->stream.message();
    http::request outgoing;
    outgoing.method = internal::header_value(message, "ds-method");
    outgoing.target = internal::header_value(message, "ds-path");
    outgoing.body = message.body;
    outgoing.fields.push_back({"X-Request-Id", it->request});
    if (const auto type = internal::header_value(message, "ds-content-type"); !type.empty()) {
        outgoing.fields.push_back({"Content-Type", type});
    }
    http::call_options options;
    options.timeout = options_.engine_idle_timeout;
    http::async_handlers handlers;
    handlers.on_end = [this, it](const base::result<http::response> &answer) {
        finish_request(it);
        if (!answer && answer.error().kind == base::error_kind::unavailable) {
            it->stream.respond(
                internal::error_response(503, "backend_unreachable", "the service does not accept connections", true));
        } else if (!answer) {
            it->stream.respond(internal::error_response(502, "backend_no_answer", "the service gave no answer", false));
        } else {
            const auto &got = answer.value();
            const auto type = http::find_field(got.fields, "content-type").value_or("application/octet-stream");
            it->stream.respond({200,
                                {{"ds-status", std::to_string(got.status)},
                                 {"ds-content-type", std::string{type}},
                                 {"ds-total", std::to_string(got.body.size())}},
                                got.body});
        }
    };
    const auto id = transfers_.send(it->backend.address, std::move(outgoing), options, std::move(handlers));
    const std::scoped_lock lock{mutex_};
    it->transfer = id;
}

void agent_daemon::finish_request(const std::shared_ptr<active_request> &it) {
    const std::scoped_lock lock{mutex_};
    table_.finish(it->request, it->attempt);
    active_.erase(it->key);
}

void agent_daemon::cancel(const transport::h2_stream &stream) {
    const auto body = base::parse_message(stream.message().body);
    if (!body.is_object()) {
        stream.respond(internal::error_response(400, "bad_body", "send a JSON object", true));
        return;
    }
    const auto request = base::field_or(body, "request", std::string{});
    std::string_view outcome;
    std::vector<std::uint64_t> transfers;
    {
        const std::scoped_lock lock{mutex_};
        outcome = internal::to_string(table_.cancel(request, base::field_or(body, "incarnation", std::string{})));
        for (const auto &[key, it] : active_) {
            if (it->request == request && !it->is_call) {
                transfers.push_back(it->transfer);
            }
        }
    }
    for (const auto id : transfers) {
        transfers_.cancel(id);
    }
    stream.respond(
        {200, internal::json_type, json{{"incarnation", table_.incarnation()}, {"outcome", outcome}}.dump()});
}

std::size_t agent_daemon::active_count(std::string_view backend) const {
    const std::scoped_lock lock{mutex_};
    return static_cast<std::size_t>(
        std::ranges::count_if(active_, [backend](const auto &each) { return each.second->backend.name == backend; }));
}

http::response agent_daemon::status() const {
    json backends = json::array();
    for (const auto &it : options_.backends) {
        const auto found = poller_.condition(it.name);
        backends.push_back({{"name", it.name},
                            {"service", it.service},
                            {"kind", it.kind == backend_kind::model ? "model" : "plain"},
                            {"models", it.models},
                            {"role", found.role},
                            {"healthy", found.reachable && !found.changing},
                            {"active", active_count(it.name)},
                            {"running", found.running},
                            {"queued", found.queued},
                            {"free_blocks", found.free_blocks},
                            {"total_blocks", found.total_blocks},
                            {"report_seq", found.report_seq},
                            {"age_ms", found.age_ms}});
    }
    const std::scoped_lock lock{mutex_};
    const json body{{"incarnation", table_.incarnation()},
                    {"host", options_.host},
                    {"failure_domain", options_.failure_domain},
                    {"draining", table_.draining()},
                    {"running", table_.running()},
                    {"backends", backends}};
    return {200, internal::json_type, body.dump()};
}

void agent_daemon::cancel_abandoned() {
    // A call that the service has received runs to its end: closing the connection would not undo its effects.
    cancel_transfers([](const auto &it) { return !it.is_call && it.stream.peer_gone(); });
}

void agent_daemon::cancel_transfers(const std::function<bool(const active_request &)> &which) {
    std::vector<std::uint64_t> transfers;
    {
        const std::scoped_lock lock{mutex_};
        for (const auto &[key, it] : active_) {
            if (which(*it)) {
                transfers.push_back(it->transfer);
            }
        }
    }
    for (const auto id : transfers) {
        transfers_.cancel(id);
    }
}

} // namespace dotterelstack::agent
