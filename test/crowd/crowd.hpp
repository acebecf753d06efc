#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace dotterelstack::test {

/** @brief What one client of a crowd sends, and how. */
struct crowd_script {
    std::string bytes;
    std::size_t repeats{1};                              /**< How often the bytes are sent, one after the other. */
    std::size_t piece{1U << 20U};                        /**< Largest number of bytes in one write. */
    std::size_t slow_from{static_cast<std::size_t>(-1)}; /**< From here on one byte is written in each round. */
    bool reads_slowly{false};                            /**< Reads one byte in each round; otherwise nothing. */
};

/**
 * @brief Clients that connect at once, send their scripts as far as they are taken, and stay open until destruction.
 * Connections that the server closes are not opened again.
 */
class crowd {
public:
    /** @param address Of the server. @param script Script of each client. */
    crowd(const std::string &address, std::size_t clients, const std::function<crowd_script(std::size_t)> &script);
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;
    ~crowd();

    /** @return True while some client could write in the last round. */
    [[nodiscard]] bool busy() const noexcept { return busy_; }

    /** @return Bytes written by all clients. */
    [[nodiscard]] std::size_t sent() const noexcept { return sent_; }

private:
    struct client {
        int fd{-1};
        crowd_script script;
        std::size_t position{0};
    };

    /** @return True if bytes were written at full pace. */
    [[nodiscard]] bool step(client &it);
    void run();

    std::vector<client> clients_;
    std::atomic<bool> busy_{true};
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> sent_{0};
    std::thread thread_;
};

} // namespace dotterelstack::test
