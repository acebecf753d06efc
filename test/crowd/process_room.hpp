#pragma once

#include <atomic>
#include <cstddef>
#include <sys/types.h>
#include <thread>

namespace dotterelstack::test {

/** @brief Watches the memory and the descriptors of a process. */
class process_room {
public:
    explicit process_room(pid_t pid);
    process_room(const process_room &) = delete;
    process_room &operator=(const process_room &) = delete;
    ~process_room();

    /** @return Most resident memory of the process so far, in MiB, as the kernel counts it. */
    [[nodiscard]] double peak_memory_mb() const;

    /** @return Most descriptors that were seen open; looked at in short intervals. */
    [[nodiscard]] std::size_t peak_descriptors() const noexcept { return peak_descriptors_; }

private:
    void run();

    const pid_t pid_;
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> peak_descriptors_{0};
    std::thread thread_;
};

} // namespace dotterelstack::test
