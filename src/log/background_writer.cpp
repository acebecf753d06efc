#include "log/background_writer.hpp"

#include <utility>

#include "log/internal.hpp"

namespace dotterelstack::log {

background_writer::background_writer(std::size_t limit) : ring_{limit}, thread_{[this] { run(); }} {
    const std::scoped_lock lock{internal::writer_mutex()};
    internal::installed_writer() = this;
}

background_writer::~background_writer() {
    {
        const std::scoped_lock lock{internal::writer_mutex()};
        internal::installed_writer() = nullptr;
    }
    ring_.close();
    thread_.join();
}

void background_writer::offer(severity level, std::string text) {
    if (!ring_.try_push({level, std::move(text)})) {
        ++dropped_;
    }
}

void background_writer::run() {
    while (const auto it = ring_.pop()) {
        internal::write_line(it->level, it->text);
        report_dropped();
    }
    report_dropped();
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
