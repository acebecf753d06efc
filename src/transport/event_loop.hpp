#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::transport {

/** @brief One thread that runs an ACE reactor on epoll. Sockets and timers are used on this thread only. */
class event_loop {
public:
    /** @throws std::runtime_error if the process has too few descriptors. */
    event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;
    event_loop(event_loop &&) = delete;
    event_loop &operator=(event_loop &&) = delete;
    ~event_loop();

    /** @brief Runs a task on the loop's thread, in order of posting. Callable from any thread. */
    void post(std::function<void()> task);

    /** @brief Runs a task on the loop's thread and waits for its end; directly when already there or after `stop`. */
    void run_and_wait(const std::function<void()> &task);

    /** @brief Runs a task on the loop's thread after a delay. */
    void after(base::duration delay, std::function<void()> task);

    /** @brief Ends the thread and runs the tasks that are left. Objects on the loop should be closed before. */
    void stop();

    /** @return The reactor, for use on the loop's thread. */
    [[nodiscard]] ACE_Reactor &reactor() noexcept { return *reactor_; }

    /** @brief Adds to the byte counters; called by connections on the loop's thread. */
    void count_bytes(std::uint64_t sent, std::uint64_t received) noexcept {
        bytes_sent_ += sent;
        bytes_received_ += received;
    }

    /** @return Bytes sent over all connections of this loop. */
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return bytes_received_; }

    [[nodiscard]] bool on_loop_thread() const noexcept { return std::this_thread::get_id() == thread_.get_id(); }

private:
    class task_handler;
    class timer_handler;

    void run_tasks();

    // Destroyed after the reactor, which still looks at the handlers of undelivered notifications when it closes.
    std::unique_ptr<task_handler> handler_;
    std::unique_ptr<ACE_Reactor> reactor_;
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::thread thread_;
};

} // namespace dotterelstack::transport
