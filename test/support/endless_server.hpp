#pragma once

#include <string>
#include <thread>

namespace dotterelstack::test {

/**
 * @brief Faulty server: answers each connection with a text and then repeats another one until the peer closes. Serves
 * one connection after the other.
 */
class endless_server {
public:
    /**
     * @param first Sent once for each connection.
     * @param repeated Sent again and again.
     */
    endless_server(std::string first, std::string repeated);
    endless_server(const endless_server &) = delete;
    endless_server &operator=(const endless_server &) = delete;
    ~endless_server();

    [[nodiscard]] const std::string &address() const noexcept { return address_; }

private:
    void serve(const std::stop_token &token) const;

    const std::string first_;
    const std::string repeated_;
    int listener_{-1};
    std::string address_;
    std::jthread thread_;
};

} // namespace dotterelstack::test
