#include "agent/load_poller.hpp"

#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"

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
    return nlohmann::json::parse(answer.value().body, nullptr, false);
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
    out.report_seq = load.value("seq", std::uint64_t{0});
    out.running = load.value("running", std::uint64_t{0});
    out.queued = load.value("queued", std::uint64_t{0});
    out.free_blocks = load.value("free_blocks", std::uint64_t{0});
    out.total_blocks = load.value("total_blocks", std::uint64_t{0});
    out.age_ms = load.value("age_ms", std::uint64_t{0});
    out.role = state.value("role", std::string{"mixed"});
    out.changing = state.value("changing", false);
    return out;
}

} // namespace dotterelstack::agent
