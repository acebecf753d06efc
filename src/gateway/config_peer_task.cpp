#include "gateway/config_peer_task.hpp"

#include <algorithm>
#include <utility>
namespace dotterelstack::gateway {

config_peer_task::config_peer_task(config_peer_settings settings, const base::clock &time, std::function<void()> ask)
    : settings_{settings}, time_{time}, ask_{std::move(ask)}, ask_due_{time.now() + settings.overdue} {}

config_peer_task::~config_peer_task() {
    stop();
}

void config_peer_task::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void config_peer_task::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

void config_peer_task::on_store_call(bool answered) {
    const auto now = time_.now();
    const std::scoped_lock lock{mutex_};
    if (answered) {
        ask_due_ = now + settings_.overdue;
    } else {
        ask_due_ = std::min(ask_due_, std::max(now, asked_at_ + settings_.ask_every));
        due_earlier_.notify_all();
    }
}

base::duration config_peer_task::step() {
    const auto now = time_.now();
    {
        const std::scoped_lock lock{mutex_};
        if (now < ask_due_) {
            return ask_due_ - now;
        }
        asked_at_ = now;
        ask_due_ = now + settings_.ask_every;
    }
    ask_();
    return base::duration{0};
}

void config_peer_task::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        const auto wait = step();
        std::unique_lock lock{mutex_};
        due_earlier_.wait_for(lock, token, wait, [this] { return time_.now() >= ask_due_; });
    }
}

} // namespace dotterelstack::gateway
