#include "log/failure_report.hpp"

#include <cstdlib>
#include <exception>
#include <glog/logging.h>
#include <string>
#include <unistd.h>

#include "log/event.hpp"
#include "log/internal.hpp"

namespace dotterelstack::log {

namespace internal {

void limit_last_output() noexcept {
    constexpr unsigned int seconds = 1;
    ::alarm(seconds);
}

/** Called from a signal handler; a failed or partial write cannot be helped there. */
void write_failure(const char *data, std::size_t size) {
    limit_last_output();
    (void)!::write(writes_to_output() ? STDOUT_FILENO : STDERR_FILENO, data, size);
}

std::string reason_of_termination() {
    const auto why = std::current_exception();
    if (!why) {
        return "terminated without an exception";
    }
    try {
        std::rethrow_exception(why);
    } catch (const std::exception &ex) {
        return ex.what();
    } catch (...) {
        return "an exception of another type";
    }
}

[[noreturn]] void on_terminate() {
    write_now("process_failed", {{"reason", reason_of_termination()}});
    std::abort();
}

} // namespace internal

void report_failures() {
    std::set_terminate(&internal::on_terminate);
    google::InstallFailureWriter(&internal::write_failure);
    google::InstallFailureSignalHandler();
}

} // namespace dotterelstack::log
