#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace dotterelstack::standin {

/** @brief Runs functions after a delay on one thread, in order of their due time. */
class timer {
public:
    timer() : thread_{[this](const std::stop_token &stop) { run(stop); }} {}

    /** @brief Runs `action` after `delay`; at once on the calling thread when the delay is not positive. */
    void after(std::chrono::milliseconds delay, std::function<void()> action) {
        if (delay.count() <= 0) {
            action();
            return;
        }
        const std::scoped_lock lock{mutex_};
        pending_.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
        changed_.notify_all();
    }

private:
    void run(const std::stop_token &stop) {
        std::unique_lock lock{mutex_};
        while (!stop.stop_requested()) {
            if (pending_.empty()) {
                changed_.wait(lock, stop, [this] { return !pending_.empty(); });
                continue;
            }
            const auto due = pending_.begin()->first;
            if (std::chrono::steady_clock::now() < due) {
                changed_.wait_until(lock, stop, due, [this, due] { return pending_.begin()->first < due; });
                continue;
            }
            const auto action = std::move(pending_.extract(pending_.begin()).mapped());
            lock.unlock();
            action();
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable_any changed_;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> pending_;
    std::jthread thread_;
};

} // namespace dotterelstack::standin
