#pragma once

// Small stand-ins for the tests of this review: an HTTP/1.1 server and client, the platform's store and usage API,
// runners, and gateway processes. Loopback only.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/** @return What has to be done before the program ends. */
inline std::vector<std::function<void()>> &end_steps() {
    static std::vector<std::function<void()>> steps;
    return steps;
}

inline void pause_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

/** @brief Writes lines with the time since its start to a file. Thread-safe. */
class recorder {
public:
    explicit recorder(const std::string &file) : out_{file, std::ios::trunc} {}

    void line(const std::string &text) {
        const std::scoped_lock lock{mutex_};
        out_ << now_ms() << " ms " << text << std::endl;
    }

    [[nodiscard]] std::int64_t now_ms() const {
        return std::chrono::duration_cast<milliseconds>(clock_type::now() - begun_).count();
    }

private:
    const clock_type::time_point begun_{clock_type::now()};
    std::mutex mutex_;
    std::ofstream out_;
};

/** @brief A connected socket. */
class connection {
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    connection(connection &&) = delete;
    connection &operator=(connection &&) = delete;
    ~connection() { close(); }

    [[nodiscard]] bool send(std::string_view text) const {
        while (!text.empty()) {
            const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /** @brief Appends what arrives within `wait` to `buffer`. @return False at the end of the connection or the wait.
     */
    [[nodiscard]] bool receive(std::string &buffer, milliseconds wait) const {
        pollfd it{fd_, POLLIN, 0};
        if (::poll(&it, 1, static_cast<int>(std::max<std::int64_t>(0, wait.count()))) <= 0) {
            return false;
        }
        char buf[16384];
        const auto n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    /** @return True once the peer has closed the connection. */
    [[nodiscard]] bool closed_by_peer() const {
        pollfd it{fd_, POLLRDHUP, 0};
        return fd_ < 0 || ::poll(&it, 1, 0) > 0;
    }

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    int fd_;
};

/** @brief A request as it was received. */
struct request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; /**< Names in lower case. */
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }

    [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }

    [[nodiscard]] std::string query(const std::string &name) const {
        std::istringstream parts{target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1)};
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
        }
        return "";
    }
};

/** @brief Splits a head into its first line and fields with names in lower case. */
inline std::string parse_head(const std::string &head, std::map<std::string, std::string> &fields) {
    std::istringstream lines{head};
    std::string first;
    std::getline(lines, first);
    if (first.ends_with('\r')) {
        first.pop_back();
    }
    for (std::string line; std::getline(lines, line);) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        fields[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    return first;
}

/** @return A whole answer with a length. */
inline std::string answer_text(int status, const std::string &body, const std::string &fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           fields + "\r\n" + body;
}

/** @brief HTTP/1.1 server with a thread for each connection. */
class http_server {
public:
    /** @return False to close the connection. */
    using handler = std::function<bool(const request &, connection &)>;

    explicit http_server(handler handle, std::uint16_t port = 0) : handle_{std::move(handle)} {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(port);
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof where;
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&where), size) != 0 || ::listen(listener_, 1024) != 0) {
            std::cerr << "cannot listen" << std::endl;
            std::_Exit(exit_not_run);
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&where), &size);
        port_ = ntohs(where.sin_port);
        std::thread{[this] { accept_all(); }}.detach();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept_all() {
        while (true) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                pause_for(milliseconds{10});
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{[this, fd] {
                connection peer{fd};
                serve(peer);
            }}.detach();
        }
    }

    void serve(connection &peer) {
        constexpr milliseconds idle{120'000};
        std::string buffer;
        while (true) {
            auto end = buffer.find("\r\n\r\n");
            while (end == std::string::npos) {
                if (!peer.receive(buffer, idle)) {
                    return;
                }
                end = buffer.find("\r\n\r\n");
            }
            request it;
            std::istringstream first{parse_head(buffer.substr(0, end + 2), it.fields)};
            first >> it.method >> it.target;
            buffer.erase(0, end + 4);
            const auto length = it.field("content-length");
            const std::size_t size = length.empty() ? 0 : std::stoull(length);
            while (buffer.size() < size) {
                if (!peer.receive(buffer, idle)) {
                    return;
                }
            }
            it.body = buffer.substr(0, size);
            buffer.erase(0, size);
            if (!handle_(it, peer)) {
                return;
            }
        }
    }

    const handler handle_;
    int listener_{-1};
    std::uint16_t port_{0};
};

/** @return A connection to a loopback address, or null. */
inline std::unique_ptr<connection> connect_to(const std::string &address, milliseconds wait = milliseconds{1000}) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto out = std::make_unique<connection>(fd);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&where), sizeof where) != 0) {
        pollfd it{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&it, 1, static_cast<int>(wait.count())) <= 0 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

/** @brief What a client has received. */
struct answer {
    int status{0}; /**< 0 without an answer. */
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete{false};

    [[nodiscard]] std::string field(const std::string &name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
};

/** @brief Removes the chunk framing. @return True once the last chunk is there. */
inline bool decode_chunks(std::string_view text, std::string &body) {
    body.clear();
    while (true) {
        const auto line = text.find("\r\n");
        if (line == std::string_view::npos) {
            return false;
        }
        const auto size = std::stoull(std::string{text.substr(0, line)}, nullptr, 16);
        text.remove_prefix(line + 2);
        if (size == 0) {
            return text.starts_with("\r\n");
        }
        body.append(text.substr(0, size));
        if (text.size() < size + 2) {
            return false;
        }
        text.remove_prefix(size + 2);
    }
}

/** @brief Reads one answer from a connection. */
inline answer read_answer(connection &peer, milliseconds wait) {
    answer out;
    std::string buffer;
    const auto until = clock_type::now() + wait;
    const auto left = [until] { return std::chrono::duration_cast<milliseconds>(until - clock_type::now()); };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!peer.receive(buffer, left())) {
            return out;
        }
    }
    const auto first = parse_head(buffer.substr(0, end + 2), out.fields);
    out.status = std::atoi(first.substr(std::min(first.size(), first.find(' ') + 1)).c_str());
    std::string rest = buffer.substr(end + 4);
    const bool chunked = out.field("transfer-encoding") == "chunked";
    const auto length = out.field("content-length");
    while (true) {
        if (chunked) {
            out.complete = decode_chunks(rest, out.body);
        } else {
            out.body = rest;
            out.complete = !length.empty() && rest.size() >= std::stoull(length);
        }
        if (out.complete || !peer.receive(rest, left())) {
            return out;
        }
    }
}

/** @brief Sends a request on a new connection. */
inline answer send_request(const std::string &address, const std::string &text,
                           milliseconds wait = milliseconds{5000}) {
    const auto peer = connect_to(address);
    if (!peer || !peer->send(text)) {
        return {};
    }
    return read_answer(*peer, wait);
}

/** @return A client's request as the pages show it. */
inline std::string request_text(const std::string &method, const std::string &target, const std::string &id,
                                int deadline_ms, const std::string &more = "", const std::string &body = "") {
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id +
                      "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer key-1\r\n" + more;
    if (!body.empty() || method == "POST") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

/** @brief The platform's store and its usage API. `Spec` is kept as the text that its writer sent. */
class platform_store {
public:
    [[nodiscard]] std::string address() const { return server_.address(); }

    /** @brief Writes an object without a condition. @return The revision, from which on it is acknowledged. */
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec) {
        const std::scoped_lock lock{mutex_};
        return write(kind, name, spec);
    }

    void erase(const std::string &kind, const std::string &name) {
        const std::scoped_lock lock{mutex_};
        remove(kind, name);
    }

private:
    struct object {
        std::uint64_t revision{0};
        std::uint64_t created{0};
        std::string spec;
    };

    struct change {
        std::uint64_t revision{0};
        std::string kind;
        std::string text;
    };

    static std::string shown(const std::string &name, const object &it) {
        return R"({"Metadata":{"Name":)" + json(name).dump() + R"(,"Revision":)" + std::to_string(it.revision) +
               R"(,"CreatedRev":)" + std::to_string(it.created) + R"(,"Finalizers":[],"Deleting":false},"Spec":)" +
               it.spec + R"(,"Status":null})";
    }

    std::uint64_t write(const std::string &kind, const std::string &name, const std::string &spec) {
        auto &it = objects_[kind][name];
        if (it.revision != 0 && it.spec == spec) {
            return it.revision;
        }
        it.revision = ++revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.spec = spec;
        note(kind, R"({"Deleted":false,"Object":)" + shown(name, it) + "}");
        return revision_;
    }

    void remove(const std::string &kind, const std::string &name) {
        auto &all = objects_[kind];
        const auto it = all.find(name);
        if (it == all.end()) {
            return;
        }
        it->second.revision = ++revision_;
        note(kind, R"({"Deleted":true,"Object":)" + shown(name, it->second) + "}");
        all.erase(it);
    }

    void note(const std::string &kind, std::string text) {
        changes_.push_back({revision_, kind, std::move(text)});
        changed_.notify_all();
    }

    static bool reply(connection &peer, int status, const std::string &body) {
        return peer.send(answer_text(status, body, "Content-Type: application/json\r\nStore-Era: 1\r\n"));
    }

    bool handle(const request &it, connection &peer) {
        constexpr std::string_view prefix = "/objects/";
        if (it.path() == "/usage") {
            return reply(peer, 200, "{}");
        }
        if (!it.path().starts_with(prefix)) {
            return reply(peer, 404, "{}");
        }
        const auto rest = it.path().substr(prefix.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        if (it.method == "GET" && name.empty() && !it.query("Watch").empty()) {
            return watch(it, peer, kind);
        }
        pause_for(milliseconds{4});
        std::unique_lock lock{mutex_};
        if (it.method == "GET") {
            return name.empty() ? list(peer, kind) : get(peer, kind, name);
        }
        if (it.method == "DELETE") {
            const auto found = objects_[kind].find(name);
            const auto wanted = it.query("Revision");
            if (found == objects_[kind].end()) {
                return reply(peer, 404, "{}");
            }
            if (!wanted.empty() && std::stoull(wanted) != found->second.revision) {
                return reply(peer, 409, shown(name, found->second));
            }
            remove(kind, name);
            return reply(peer, 200, "{}");
        }
        const auto body = json::parse(it.body);
        const auto &metadata = body.at("Metadata");
        const auto target = it.method == "POST" ? metadata.at("Name").get<std::string>() : name;
        const auto found = objects_[kind].find(target);
        const bool exists = found != objects_[kind].end();
        const bool conflict = it.method == "POST" ? exists
                                                  : exists && metadata.contains("Revision") &&
                                                        metadata.at("Revision") != found->second.revision;
        if (conflict) {
            return reply(peer, 409, shown(target, found->second));
        }
        if (it.method == "PUT" && !exists) {
            return reply(peer, 404, "{}");
        }
        write(kind, target, body.at("Spec").dump());
        return reply(peer, 200, shown(target, objects_[kind][target]));
    }

    bool get(connection &peer, const std::string &kind, const std::string &name) {
        const auto found = objects_[kind].find(name);
        return found == objects_[kind].end() ? reply(peer, 404, "{}") : reply(peer, 200, shown(name, found->second));
    }

    bool list(connection &peer, const std::string &kind) {
        std::string items;
        for (const auto &[name, it] : objects_[kind]) {
            items += (items.empty() ? "" : ",") + shown(name, it);
        }
        return reply(peer, 200,
                     R"({"items":[)" + items + R"(],"Truncated":false,"StoreRevision":)" + std::to_string(revision_) +
                         "}");
    }

    bool watch(const request &it, connection &peer, const std::string &kind) {
        const auto since = std::stoull(it.query("Watch"));
        const auto wait = milliseconds{it.query("WaitMs").empty() ? 0 : std::stoll(it.query("WaitMs"))};
        const auto begun = clock_type::now();
        std::unique_lock lock{mutex_};
        std::string events;
        const auto collect = [&] {
            for (const auto &change : changes_) {
                if (change.revision > since && change.kind == kind) {
                    events += (events.empty() ? "" : ",") + change.text;
                }
            }
            return !events.empty();
        };
        (void)changed_.wait_until(lock, begun + wait, collect);
        const auto text = R"({"events":[)" + events + R"(],"StoreRevision":)" + std::to_string(revision_) + "}";
        lock.unlock();
        return reply(peer, 200, text);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{100};
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<change> changes_;
    http_server server_{[this](const request &it, connection &peer) { return handle(it, peer); }};
};

/** @return The entry of a runner. */
inline json server_entry(const std::string &service, const std::string &address, const std::string &zone, int slots,
                         const std::string &state = "ready", const std::string &stage = "") {
    json out{{"Service", service}, {"Address", address},   {"Zone", zone},
             {"Version", "v1"},    {"Slots", slots},       {"State", state},
             {"Sequence", 4},      {"ColdRemainingMs", 0}, {"born", 1760000000000}};
    if (!stage.empty()) {
        out["Stage"] = stage;
    }
    return out;
}

/** @return The operator's configuration of a small site: a streaming, an unsafe and a safe route. */
inline json site_config(int version) {
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout, int objective,
                          const char *service, int attempts, bool resumable) {
        return json{{"Name", name},    {"Host", "site.example"},   {"PathPrefix", prefix},
                    {"Kind", kind},    {"TimeoutMs", timeout},     {"TargetLatencyMs", objective},
                    {"Priority", 1},   {"Service", service},       {"MaxAttempts", attempts},
                    {"Public", false}, {"Sticky", kind[1] == 't'}, {"Resumable", resumable},
                    {"GapAimMs", 150}};
    };
    return json{
        {"Version", version},
        {"Routes",
         {route("draft", "/draft/", "streaming", 5000, 300, "model", 2, true),
          route("book", "/book/", "unsafe", 800, 300, "desk", 1, false),
          route("read", "/read/", "safe", 800, 300, "desk", 2, false)}},
        {"Services",
         {{{"Name", "model"},
           {"HealthPath", "/health"},
           {"MaxConnections", 170},
           {"Protocol", "h1"},
           {"Tls", false},
           {"Engine",
            {{"Slots", 12}, {"KvCapacityTokens", 610008}, {"KvTokenBytes", 18432}, {"KvHoldS", 5.0}, {"most", 12}}}},
          {{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConnections", 110}, {"Protocol", "h1"}, {"Tls", false}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants", {{{"Name", "tenant-1"}, {"ApiKeys", {"key-1"}}, {"Priority", 1}}}}};
}

/** @brief A gateway process as the deploy file starts it. */
class gateway_process {
public:
    gateway_process(std::string name, std::string store, std::filesystem::path folder)
        : name_{std::move(name)}, store_{std::move(store)}, folder_{std::move(folder)} {
        end_steps().emplace_back([this] { kill(); });
    }
    gateway_process(const gateway_process &) = delete;
    gateway_process &operator=(const gateway_process &) = delete;
    gateway_process(gateway_process &&) = delete;
    gateway_process &operator=(gateway_process &&) = delete;
    ~gateway_process() = default;

    /** @return False if it did not listen within ten seconds. */
    [[nodiscard]] bool start() {
        const auto settings = folder_ / (name_ + ".json");
        const auto log = folder_ / (name_ + ".log");
        std::ofstream{settings} << json{{"name", name_},
                                        {"failure_domain", "rajkot"},
                                        {"listen",
                                         {{"callers", "127.0.0.1:0"},
                                          {"readiness", "127.0.0.1:0"},
                                          {"peers", "127.0.0.1:0"},
                                          {"metrics", "127.0.0.1:0"}}},
                                        {"store", store_},
                                        {"duties", store_},
                                        {"seeds", json::array()},
                                        {"descriptors", 4100},
                                        {"bounds",
                                         {{"drain_ms", 2000},
                                          {"contact_ms", 3000},
                                          {"stop_grace_s", 8},
                                          {"lease_term_ms", 3000},
                                          {"usage_window_s", 5},
                                          {"usage_due_s", 10},
                                          {"retry_window_s", 10},
                                          {"retry_ratio", 0.2},
                                          {"retry_allowance", 58},
                                          {"config_apply_ms", 2000}}}}
                                       .dump();
        const std::string program = std::filesystem::absolute("target/bin/dotterelstack").string();
        const std::string variable = "DOTTERELSTACK_SETTINGS=" + settings.string();
        const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            // The gateway ends with this program, whatever ends it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                std::_Exit(exit_not_run);
            }
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            char *arguments[] = {const_cast<char *>(program.c_str()), const_cast<char *>("gateway"), nullptr};
            char *variables[] = {const_cast<char *>(variable.c_str()), const_cast<char *>("PATH=/usr/bin:/bin"),
                                 nullptr};
            ::execve(program.c_str(), arguments, variables);
            std::_Exit(exit_not_run);
        }
        ::close(out);
        for (int n = 0; n < 200; ++n) {
            callers_ = listener(log, "callers");
            readiness_ = listener(log, "readiness");
            if (!callers_.empty() && !readiness_.empty()) {
                return true;
            }
            if (!running()) {
                return false;
            }
            pause_for(milliseconds{50});
        }
        return false;
    }

    /** @return True while the process runs. Takes note of its end. */
    [[nodiscard]] bool running() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = 0;
        }
        return pid_ > 0;
    }

    /** @brief Kills the process and waits for its end. */
    void kill() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            pid_ = 0;
        }
    }

    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /** @return Signal that ended the process, or 0. */
    [[nodiscard]] int end_signal() const { return WIFSIGNALED(status_) ? WTERMSIG(status_) : 0; }

    [[nodiscard]] bool ready() const {
        const auto found = send_request(readiness_, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", milliseconds{1000});
        return found.status == 200;
    }

    [[nodiscard]] bool wait_ready(milliseconds wait) {
        const auto until = clock_type::now() + wait;
        while (clock_type::now() < until && running()) {
            if (ready()) {
                return true;
            }
            pause_for(milliseconds{100});
        }
        return false;
    }

    /** @return Memory in use, in MB. */
    [[nodiscard]] int memory_mb() const {
        std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::atoi(line.c_str() + std::strlen("VmRSS:")) / 1024;
            }
        }
        return 0;
    }

    [[nodiscard]] const std::string &callers() const { return callers_; }
    [[nodiscard]] const std::string &name() const { return name_; }
    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    static std::string listener(const std::filesystem::path &log, const std::string &name) {
        std::ifstream in{log};
        const std::string prefix = "listening " + name + " ";
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with(prefix) && !in.eof()) {
                return line.substr(prefix.size());
            }
        }
        return "";
    }

    const std::string name_;
    const std::string store_;
    const std::filesystem::path folder_;
    pid_t pid_{0};
    int status_{0};
    std::string callers_;
    std::string readiness_;
};

/** @return A temporary folder that is removed at the end of the program. */
inline std::filesystem::path temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        std::_Exit(exit_not_run);
    }
    end_steps().insert(end_steps().begin(), [name] {
        std::error_code ec;
        std::filesystem::remove_all(name, ec);
    });
    return name;
}

/** @return False when the case runs without its disruption. */
inline bool disrupted() {
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/** @brief Ends the program and the gateways, without waiting for the threads of stand-ins. */
[[noreturn]] inline void finish(recorder &record, int code, const std::string &text) {
    record.line("result " + std::to_string(code) + ": " + text);
    std::cout << text << std::endl;
    // Gateways were added last and end first.
    std::for_each(end_steps().rbegin(), end_steps().rend(), [](const auto &step) { step(); });
    std::_Exit(code);
}

} // namespace review
