#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/** @brief Stand-ins for the cases of the review: the platform with its store, runners, and callers. */
namespace drill {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** @brief A TCP socket that is closed with its owner. */
class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int fd) noexcept : fd_{fd} {}
    tcp_socket(tcp_socket &&other) noexcept;
    tcp_socket &operator=(tcp_socket &&other) noexcept;
    tcp_socket(const tcp_socket &) = delete;
    tcp_socket &operator=(const tcp_socket &) = delete;
    ~tcp_socket();

    [[nodiscard]] int fd() const noexcept { return fd_; }
    [[nodiscard]] bool open() const noexcept { return fd_ >= 0; }
    /** @return False if the peer has gone. */
    [[nodiscard]] bool write(std::string_view text) const;
    /** @brief Appends what has come. @return False at the end of the connection, or if nothing comes in time. */
    [[nodiscard]] bool read_some(std::string &to) const;
    void set_timeout(milliseconds limit) const;

private:
    int fd_{-1};
};

/** @brief Listens on a free port of 127.0.0.1 and serves each connection on its own thread, until the process ends. */
class tcp_server {
public:
    explicit tcp_server(std::function<void(tcp_socket)> serve);

    [[nodiscard]] const std::string &address() const noexcept { return address_; }

private:
    std::string address_;
};

[[nodiscard]] tcp_socket connect_to(const std::string &address, milliseconds limit);
/** @return An address that nobody listened on a moment ago. */
[[nodiscard]] std::string free_address();

/** @brief A request or an answer. */
struct message {
    std::string start; /**< First line. */
    std::multimap<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const;
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/** @brief Reads messages with a length or in chunks. */
class message_reader {
public:
    explicit message_reader(const tcp_socket &from) noexcept : from_{from} {}
    /** @return Nothing if the connection has ended before the end of a message. */
    [[nodiscard]] std::optional<message> next();

private:
    [[nodiscard]] std::optional<std::string> line();
    [[nodiscard]] bool take(std::size_t n, std::string &to);

    const tcp_socket &from_;
    std::string buffer_;
};

/** @brief Record of what was sent, answered and run; times are in seconds from the start. */
class event_record {
public:
    explicit event_record(const std::string &file) : out_{file} {}
    void write(const std::string &text);
    [[nodiscard]] double now() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    const steady::time_point begun_{steady::now()};
};

/** @brief The platform's store, and its API for usage reports. */
class object_store {
public:
    object_store();

    [[nodiscard]] const std::string &address() const noexcept { return server_.address(); }
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);
    /** @brief Ends the connection of each watch that has waited for so long. */
    void cut_watches_after(milliseconds limit) { watch_limit_ = limit; }

private:
    struct object {
        std::uint64_t revision{0};
        nlohmann::json spec;
    };
    struct change {
        std::uint64_t revision{0};
        std::string kind;
        std::string name;
        nlohmann::json spec;
        bool deleted{false};
    };

    void serve(const tcp_socket &from);
    [[nodiscard]] std::pair<int, nlohmann::json> answer(const message &request);
    [[nodiscard]] std::pair<int, nlohmann::json> read(const std::string &kind, const std::string &name);
    [[nodiscard]] std::pair<int, nlohmann::json> list(const std::string &kind);
    [[nodiscard]] std::pair<int, nlohmann::json> watch(const std::string &kind, std::uint64_t since, milliseconds wait);
    [[nodiscard]] std::pair<int, nlohmann::json> write(const std::string &kind, const std::string &name,
                                                       const nlohmann::json &body, bool creates);
    [[nodiscard]] std::pair<int, nlohmann::json> erase(const std::string &kind, const std::string &name,
                                                       std::uint64_t expected);
    void store_locked(const std::string &kind, const std::string &name, nlohmann::json spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{100};
    std::atomic<milliseconds> watch_limit_{milliseconds::max()};
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<change> history_;
    tcp_server server_;
};

/** @brief What a runner is. */
struct runner_options {
    std::string id;
    std::string service;
    bool streams{false};
    std::size_t slots{6};
    std::size_t queue{24};
    milliseconds work{60};
};

/** @brief What a runner in trouble sends for each request, until its caller closes the connection. */
struct endless_bytes {
    std::string head;      /**< Sent at once. */
    std::string repeated;  /**< Sent again and again. */
    milliseconds pause{0}; /**< Before each repetition. */
};

/** @brief A runner. In trouble it sends bytes that are no answer until its caller closes the connection. */
class runner {
public:
    runner(runner_options options, object_store &store, event_record &record);

    void set_trouble(std::optional<endless_bytes> what);
    /** @return True if a request was handed to this runner while it was sound. */
    [[nodiscard]] bool ran(const std::string &id);
    /** @brief Removes its entry without a report that it leaves, and serves on. */
    void leave(object_store &store);
    /** @return Requests that have come later than this after the removal of its entry. */
    [[nodiscard]] int came_after_leaving(milliseconds limit);

private:
    void serve(const tcp_socket &from);
    [[nodiscard]] bool run(const tcp_socket &from, const message &request);
    [[nodiscard]] bool stream(const tcp_socket &from, const std::string &head);

    const runner_options options_;
    event_record &record_;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    std::size_t running_{0};
    std::size_t waiting_{0};
    std::optional<endless_bytes> trouble_;
    std::map<std::string, int> runs_;
    std::optional<steady::time_point> left_at_;
    std::vector<milliseconds> after_leaving_; /**< Times of requests since the removal. */
    tcp_server server_;
};

/** @brief A front machine as the platform runs it: the process is killed beyond its memory, and started again. */
class front_machine {
public:
    front_machine(int number, const std::string &folder, const std::string &store, event_record &record);
    front_machine(const front_machine &) = delete;
    front_machine &operator=(const front_machine &) = delete;
    ~front_machine();

    [[nodiscard]] const std::string &callers() const noexcept { return callers_; }
    [[nodiscard]] bool ready() const;
    /** @return How often the process ended by itself or exceeded its memory. */
    [[nodiscard]] int ends() const noexcept { return ends_; }
    [[nodiscard]] std::size_t peak_mb() const noexcept { return peak_kb_ / 1024; }
    [[nodiscard]] bool failed_to_start() const noexcept { return failed_; }

private:
    void supervise();
    [[nodiscard]] pid_t spawn() const;

    const int number_;
    const std::string folder_;
    std::string callers_{free_address()};
    std::string readiness_{free_address()};
    event_record &record_;
    std::atomic<int> ends_{0};
    std::atomic<std::size_t> peak_kb_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> failed_{false};
    std::thread supervisor_;
};

/** @brief SIGTERM and SIGINT end the processes that were started, and this one with status 2. */
void end_processes_on_stop();

/** @brief How a request of a caller ended. */
struct outcome {
    int status{0};    /**< 0 if the connection ended without an answer, -1 if there was no connection. */
    bool kept{false}; /**< It was sent on a connection that had served another request. */
    std::string machine;
    double sent{0};
    double taken{0}; /**< Seconds until the answer or the end of the connection. */
};

/** @brief Clients of one front machine, which send requests at a rate on connections that they keep. */
class client_group {
public:
    client_group(const front_machine &machine, std::string prefix, event_record &record);
    client_group(const client_group &) = delete;
    client_group &operator=(const client_group &) = delete;
    ~client_group();

    /** @param lines Head of the request, without the fields that all requests have. */
    void send(const std::string &kind, const std::string &lines, milliseconds deadline);
    void wait();
    [[nodiscard]] std::map<std::string, outcome> outcomes();

private:
    void exchange(const std::string &id, const std::string &text, milliseconds deadline);

    const front_machine &machine_;
    const std::string prefix_;
    event_record &record_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::size_t open_{0};
    int next_{0};
    std::deque<tcp_socket> idle_;
    std::map<std::string, outcome> outcomes_;
};

/** @return The configuration of the site. */
[[nodiscard]] nlohmann::json site_config();

} // namespace drill
