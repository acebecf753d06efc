#pragma once

#include <atomic>
#include <mutex>
#include <shared_mutex>
#include <string>

#include "log/catalogue.hpp"

namespace dotterelstack::log {

class background_writer;

namespace internal {

/** Protects the installed writer; shared while a line is handed over, so that it is not destroyed meanwhile. */
[[nodiscard]] std::shared_mutex &writer_mutex() noexcept;

[[nodiscard]] background_writer *&installed_writer() noexcept;

/** @return True if lines go to standard output. */
[[nodiscard]] bool &writes_to_output() noexcept;

/** @return True once nobody has read the output for too long; writes that block then end when they are interrupted. */
[[nodiscard]] std::atomic<bool> &output_given_up() noexcept;

/** Ends the process by SIGALRM soon, if it does not end before: nobody may read what it writes last. */
void limit_last_output() noexcept;

/** Writes one line through glog on this thread. */
void write_line(severity level, const std::string &text);

} // namespace internal
} // namespace dotterelstack::log
