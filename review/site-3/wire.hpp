#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Small HTTP/1.1 over blocking sockets, a thread for each connection, for the stand-ins of the third review. */
namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** @return Milliseconds since the process began. */
[[nodiscard]] std::int64_t now_ms();

/** Lines of `record.txt`, each with its time. Thread-safe. */
class record {
public:
    explicit record(const std::string &file) : out_{file} {}
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct field {
    std::string name;
    std::string value;
};

struct message {
    std::string start; /**< Request line or status line. */
    std::vector<field> fields;
    std::string body;

    [[nodiscard]] std::string get(std::string_view name) const;
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const;
    [[nodiscard]] std::string path() const { return target().substr(0, target().find('?')); }
    /** @return Value of a parameter of the query, or empty. */
    [[nodiscard]] std::string query(const std::string &name) const;
    [[nodiscard]] int status() const;
};

/** A connected socket, closed with its owner. */
class connection {
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    connection(connection &&) = delete;
    connection &operator=(connection &&) = delete;
    ~connection();

    /** @return False once the connection has ended or `close` was called. */
    [[nodiscard]] bool read_message(message &out, bool is_answer);
    bool write(std::string_view text);
    /** @return True if the peer has closed its side. */
    [[nodiscard]] bool peer_gone() const;
    /** Ends the connection; a thread that reads or writes it returns. */
    void close();
    /** @return True if an answer was read to its marked end. */
    [[nodiscard]] bool whole() const noexcept { return whole_; }
    void set_timeout(milliseconds limit) const;

private:
    [[nodiscard]] bool fill();
    [[nodiscard]] bool read_line(std::string &out);
    [[nodiscard]] bool read_bytes(std::size_t n, std::string &out);
    [[nodiscard]] bool read_body(message &out, bool is_answer);

    const int fd_;
    std::atomic<bool> closed_{false};
    bool whole_{false};
    std::string buffer_;
};

/** Handles one request; writes the answer itself. Returning false closes the connection. */
using handler = std::function<bool(const message &, connection &)>;

/** Serves at an address until `stop`. */
class server {
public:
    server(const std::string &ip, int port, handler handle);
    server(const server &) = delete;
    server &operator=(const server &) = delete;
    server(server &&) = delete;
    server &operator=(server &&) = delete;
    ~server();

    [[nodiscard]] const std::string &address() const noexcept { return address_; }

    /** Refuses connections from now on and ends all that are open, as the end of a process does. Does not wait. */
    void stop();

private:
    struct slot {
        std::shared_ptr<connection> link;
        std::thread thread;
        std::atomic<bool> done{false};
    };

    void accept_all();
    void serve(const std::shared_ptr<slot> &it);

    handler handle_;
    std::string address_;
    int fd_{-1};
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::list<std::shared_ptr<slot>> slots_;
    std::thread thread_;
};

/** What a client has received. */
struct reply {
    int status{0}; /**< 0 if no whole head came. */
    bool whole{false};
    message answer;
};

/** @return The answer to one request on a new connection. */
[[nodiscard]] reply call(const std::string &address, const std::string &start, const std::vector<field> &fields,
                         const std::string &body, milliseconds limit);

[[nodiscard]] std::string render(const std::string &start, const std::vector<field> &fields, const std::string &body);

} // namespace review
