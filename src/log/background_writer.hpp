#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include "base/ring.hpp"
#include "log/event.hpp"

namespace dotterelstack::log {

/** @brief Lines that wait for the writer; at 300 bytes each they take about a megabyte. */
inline constexpr std::size_t waiting_limit = 4096;

/** @brief How long the end waits for lines to be read. It has to fit into what a gateway leaves of its stop grace. */
inline constexpr auto end_wait = std::chrono::milliseconds{300};

/**
 * @brief While one exists, `write` hands lines to a thread and never blocks, even if the reader of standard error is
 * stuck. A full ring drops the line and counts it; the count is logged as `ring_dropped` when there is room again.
 * Create at most one, in `main`; its destructor writes what is still waiting, as far as it is read within `end_wait`.
 */
class background_writer {
public:
    /** @param limit Largest number of waiting lines. */
    explicit background_writer(std::size_t limit = waiting_limit);
    background_writer(const background_writer &) = delete;
    background_writer &operator=(const background_writer &) = delete;
    background_writer(background_writer &&) = delete;
    background_writer &operator=(background_writer &&) = delete;
    ~background_writer();

    /** @return Number of lines dropped so far. */
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    friend void write(event what, field_values values);

    struct line {
        severity level;
        std::string text;
    };

    void offer(severity level, std::string text);
    void run();
    void report_dropped();

    base::bounded_ring<line> ring_;
    std::atomic<std::uint64_t> dropped_{0};
    std::uint64_t reported_{0}; /**< Used by the thread only. */
    std::mutex end_mutex_;
    std::condition_variable ended_signal_;
    bool ended_{false};
    std::thread thread_;
};

} // namespace dotterelstack::log
