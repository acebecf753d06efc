#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace dotterelstack::test {

/**
 * @brief Server of one connection whose steps are taken by the test's own thread, so that a test decides what the
 * client's socket holds before the client looks at it. Failures throw `std::runtime_error`.
 */
class stepped_server {
public:
    stepped_server();
    stepped_server(const stepped_server &) = delete;
    stepped_server &operator=(const stepped_server &) = delete;
    ~stepped_server();

    [[nodiscard]] const std::string &address() const noexcept { return address_; }

    /** @brief Waits for a connection, and reads from it until a text has come; what follows it may be read, too. */
    void read_until(std::string_view text);

    /** @brief Reads until this many bytes have come after the first empty line. */
    void read_body(std::size_t bytes);

    void send(std::string_view text) const;

    /** @brief Ends the own direction of the connection; the other one stays open. */
    void end_output() const;

    /** @brief Resets the connection. */
    void reset();

    /** @brief Closes the connection; the kernel resets it if there are unread bytes. */
    void close();

private:
    void accept();
    void read_more();

    int listener_{-1};
    int peer_{-1};
    std::string address_;
    std::string received_;
};

} // namespace dotterelstack::test
