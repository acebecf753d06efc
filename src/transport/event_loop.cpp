#include "transport/event_loop.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Thread.h>
#include <algorithm>
#include <condition_variable>
#include <stdexcept>

#include "base/descriptors.hpp"

namespace dotterelstack::transport {

namespace internal {

// Largest number of handles of one reactor: connections to agents and other entries, with room to spare.
constexpr std::size_t most_reactor_handles = 16384;

/**
 * Opens a reactor that can take each descriptor of the process: beyond their limit ACE does not open it.
 * @throws std::runtime_error if it does not open. A reactor that is not open must not be used.
 */
std::unique_ptr<ACE_Reactor> open_reactor() {
    const auto handles = std::min(most_reactor_handles, base::descriptor_limit());
    auto engine = std::make_unique<ACE_Dev_Poll_Reactor>(handles);
    if (!engine->initialized()) {
        throw std::runtime_error{"cannot open an event loop for " + std::to_string(handles) +
                                 " descriptors; raise the limit on descriptors"};
    }
    return std::make_unique<ACE_Reactor>(engine.release(), true);
}

ACE_Time_Value to_time_value(base::duration value) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    constexpr auto per_second = 1'000'000;
    return ACE_Time_Value{static_cast<time_t>(us / per_second), static_cast<suseconds_t>(us % per_second)};
}

} // namespace internal

class event_loop::task_handler final : public ACE_Event_Handler {
public:
    explicit task_handler(event_loop &owner) : owner_{owner} {}

    int handle_exception(ACE_HANDLE /*handle*/) override {
        owner_.run_tasks();
        return 0;
    }

private:
    event_loop &owner_;
};

class event_loop::timer_handler final : public ACE_Event_Handler {
public:
    explicit timer_handler(std::function<void()> task) : task_{std::move(task)} {}

    int handle_timeout(const ACE_Time_Value & /*now*/, const void * /*argument*/) override {
        task_();
        return -1;
    }

    int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override {
        delete this;
        return 0;
    }

private:
    std::function<void()> task_;
};

event_loop::event_loop() : handler_{std::make_unique<task_handler>(*this)}, reactor_{internal::open_reactor()} {
    thread_ = std::thread{[this] {
        reactor_->owner(ACE_Thread::self());
        while (!stopping_) {
            reactor_->handle_events();
        }
    }};
}

event_loop::~event_loop() {
    stop();
    run_tasks();
}

void event_loop::post(std::function<void()> task) {
    bool first = false;
    {
        const std::scoped_lock lock{mutex_};
        first = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    if (first) {
        reactor_->notify(handler_.get(), ACE_Event_Handler::EXCEPT_MASK);
    }
}

void event_loop::run_and_wait(const std::function<void()> &task) {
    if (on_loop_thread() || !thread_.joinable()) {
        task();
        return;
    }
    std::mutex mutex;
    std::condition_variable done_signal;
    bool done = false;
    post([&] {
        task();
        const std::scoped_lock lock{mutex};
        done = true;
        done_signal.notify_one();
    });
    std::unique_lock lock{mutex};
    done_signal.wait(lock, [&done] { return done; });
}

void event_loop::after(base::duration delay, std::function<void()> task) {
    post([this, delay, task = std::move(task)]() mutable {
        auto *timer = new timer_handler{std::move(task)};
        if (reactor_->schedule_timer(timer, nullptr, internal::to_time_value(delay)) == -1) {
            delete timer;
        }
    });
}

void event_loop::stop() {
    if (!thread_.joinable()) {
        return;
    }
    stopping_ = true;
    post([] {});
    thread_.join();
    // Tasks left over release connections; they run here, where nothing else uses the reactor any more.
    run_tasks();
}

void event_loop::run_tasks() {
    std::vector<std::function<void()>> tasks;
    {
        const std::scoped_lock lock{mutex_};
        tasks.swap(tasks_);
    }
    for (auto &task : tasks) {
        task();
    }
}

} // namespace dotterelstack::transport
