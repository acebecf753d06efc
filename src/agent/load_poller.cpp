#include "agent/load_poller.hpp"

#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"

namespace dotterelstack::agent {

namespace internal {

nlohmann::json get_json(http::client &client, const std::string &address, const std::string &target) {
    http::call_options options;
    options.connect_timeout = std::chrono::milliseconds{500};
    options.timeout = std::chrono::seconds{1};
    const auto answer = client.call(address, {"GET", target, {}, ""}, options);
    if (!answer || answer.value().status != 200) {
        return nullptr;
    }
    return base::parse_message(answer.value().body);
}

} // namespace internal

load_poller::load_poller(const agent_options &options, http::client &client) : options_{options}, client_{client} {}

load_poller::~load_poller() {
    stop();
}

void load_poller::start(std::function<void()> on_round) {
    poll_all();
    thread_ = std::jthread{[this, on_round = std::move(on_round)](const std::stop_token &token) {
        while (!token.stop_requested()) {
            poll_all();
            on_round();
            base::wait_unless_stopped(token, options_.load_poll_interval);
        }
    }};
}

void load_poller::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

backend_condition load_poller::condition(const std::string &backend) const {
    const std::scoped_lock lock{mutex_};
    const auto it = conditions_.find(backend);
    return it == conditions_.end() ? backend_condition{} : it->second;
}

void load_poller::poll_all() {
    for (const auto &it : options_.backends) {
        const auto found = poll(it);
        const std::scoped_lock lock{mutex_};
        conditions_[it.name] = found;
    }
}

backend_condition load_poller::poll(const backend_options &backend) {
    backend_condition out;
    if (backend.kind == backend_kind::plain) {
        // Plain services report no load; any HTTP response, whatever its status, shows that the service is running.
        const auto answer = client_.call(backend.address, {"GET", "/", {}, ""}, {});
        out.reachable = answer.has_value();
        return out;
    }
    const auto load = internal::get_json(client_, backend.address, "/v1/load");
    const auto state = internal::get_json(client_, backend.address, "/v1/state");
    if (!load.is_object() || !state.is_object()) {
        return out;
    }
    out.reachable = true;
    out.report_seq = base::field_or(load, "seq", std::uint64_t{0});
    out.running = base::field_or(load, "running", std::uint64_t{0});
    out.queued = base::field_or(load, "queued", std::uint64_t{0});
    out.free_blocks = base::field_or(load, "free_blocks", std::uint64_t{0});
    out.total_blocks = base::field_or(load, "total_blocks", std::uint64_t{0});
    out.age_ms = base::field_or(load, "age_ms", std::uint64_t{0});
    out.role = base::field_or(state, "role", std::string{"mixed"});
    out.changing = base::field_or(state, "changing", false);
    return out;
}

} // namespace dotterelstack::agent
