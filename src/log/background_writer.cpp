#include "log/background_writer.hpp"

#include <csignal>
#include <pthread.h>
#include <utility>

#include "log/internal.hpp"

namespace dotterelstack::log {

namespace internal {

// Interrupts a write that blocks. Nothing else uses this signal, and it is ignored by default.
constexpr int interrupt_signal = SIGURG;
constexpr auto interrupt_pause = std::chrono::milliseconds{5};

/** Without SA_RESTART, so that system calls return. */
void make_interrupt_harmless() noexcept {
    struct sigaction action {};
    action.sa_handler = [](int) {};
    ::sigaction(interrupt_signal, &action, nullptr);
}

} // namespace internal

background_writer::background_writer(std::size_t limit) : ring_{limit}, thread_{[this] { run(); }} {
    internal::output_given_up() = false;
    const std::scoped_lock lock{internal::writer_mutex()};
    internal::installed_writer() = this;
}

background_writer::~background_writer() {
    {
        const std::scoped_lock lock{internal::writer_mutex()};
        internal::installed_writer() = nullptr;
    }
    ring_.close();
    {
        std::unique_lock lock{end_mutex_};
        const auto ended = [this] { return ended_; };
        if (!ended_signal_.wait_for(lock, end_wait, ended)) {
            internal::make_interrupt_harmless();
            internal::output_given_up() = true;
            // Once more and again, because a write that begins after the signal blocks, too.
            while (!ended_signal_.wait_for(lock, internal::interrupt_pause, ended)) {
                ::pthread_kill(thread_.native_handle(), internal::interrupt_signal);
            }
        }
    }
    thread_.join();
}

void background_writer::offer(severity level, std::string text) {
    if (!ring_.try_push({level, std::move(text)})) {
        ++dropped_;
    }
}

void background_writer::run() {
    while (const auto it = ring_.pop()) {
        if (!internal::output_given_up()) {
            internal::write_line(it->level, it->text);
            report_dropped();
        }
    }
    if (!internal::output_given_up()) {
        report_dropped();
    }
    const std::scoped_lock lock{end_mutex_};
    ended_ = true;
    ended_signal_.notify_one();
}

void background_writer::report_dropped() {
    const auto n = dropped_.load();
    if (n == reported_) {
        return;
    }
    const event dropped{"ring_dropped"};
    internal::write_line(dropped.description().level, format(dropped, {{"ring", "log"}, {"count", n - reported_}}));
    reported_ = n;
}

} // namespace dotterelstack::log
