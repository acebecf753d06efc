#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dotterelstack::test {

/** @brief What a scripted server does about one request. */
struct scripted_answer {
    enum class then : std::uint8_t {
        keep,  /**< Reads the next request. */
        close, /**< Ends the connection. */
        reset, /**< Resets the connection. */
        hold   /**< Neither reads nor writes any more. */
    };

    std::string text{};
    then after{then::keep};
    std::string late{}; /**< Sent some time after the answer, without another request. */
};

/** @brief Server that answers with exact bytes, on a thread for each connection. */
class scripted_server {
public:
    /** @param script Gets the number of the connection, the number of the request on it, both from 0, and its text. */
    using script = std::function<scripted_answer(int connection, int request, const std::string &text)>;

    explicit scripted_server(script what);
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;
    ~scripted_server();

    [[nodiscard]] const std::string &address() const noexcept { return address_; }
    [[nodiscard]] int connections() const noexcept { return connections_; }
    [[nodiscard]] int requests() const noexcept { return requests_; }

    /** @brief Ends the connections that are open. */
    void close_open();

private:
    void accept(const std::stop_token &token);
    void serve(const std::stop_token &token, int peer, int number);

    const script script_;
    int listener_{-1};
    std::string address_;
    std::atomic<int> connections_{0};
    std::atomic<int> requests_{0};
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::jthread> peers_;
    std::jthread thread_;
};

} // namespace dotterelstack::test
