#include "http/pooled_client.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <netdb.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/answer_reader.hpp"

namespace dotterelstack::http {

namespace internal {

using pool_clock = std::chrono::steady_clock;

// Period in which idle connections are checked for their age.
constexpr std::chrono::milliseconds expiry_period{250};
constexpr std::size_t pool_event_batch = 64;
constexpr std::size_t input_bytes = std::size_t{16} << 10U;
// Reads of one connection before others get their turn. Answers that come at once are collected one after the other,
// which keeps fewer of them in memory at the same time.
constexpr int reads_per_event = 64;
// Answers to other requests that are skipped before an own one.
constexpr int most_skipped = 4;
constexpr int misdirected = 421;

int valid_or_throw(int fd) {
    if (fd < 0) {
        throw std::system_error{errno, std::generic_category(), "cannot create a descriptor; raise their limit"};
    }
    return fd;
}

bool would_block() noexcept {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/** @return Start line and fields of a request. */
std::string head_text(const request &message, std::string_view address) {
    std::string out = message.method + " " + message.target + " HTTP/1.1\r\n";
    if (!find_field(message.fields, "Host")) {
        out.append("Host: ").append(address).append("\r\n");
    }
    for (const auto &it : message.fields) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    }
    if (!message.body.empty() || message.method == "POST" || message.method == "PUT") {
        out.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
    }
    return out.append("\r\n");
}

/** @return Value of the parameter `timeout` of Keep-Alive, or nothing. */
std::optional<base::duration> keep_alive_of(const field_list &fields) {
    constexpr std::string_view name{"timeout="};
    // Longer values are of no use, and must not overflow.
    constexpr int longest = 3600;
    const auto text = find_field(fields, "Keep-Alive").value_or("");
    const auto at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    for (const char it : text.substr(at + name.size())) {
        if (it < '0' || it > '9') {
            break;
        }
        seconds = std::min(seconds * 10 + (it - '0'), longest);
    }
    return std::chrono::seconds{seconds};
}

/** A call in progress. */
struct pooled_call {
    std::uint64_t id{0};
    std::string address;
    request message;
    call_options options;
    async_handlers handlers;
    owner_check owner;
    std::string head{};
    std::uint64_t incarnation{0};
    owned_socket connection{};
    bool reused{false};
    bool connecting{false};
    bool write_failed{false};
    bool bytes_seen{false}; /**< Of an answer. */
    std::size_t sent{0};
    int skipped{0};
    bool skipping{false};
    bool is_own{false};
    std::optional<answer_reader> reader{};
    response answer{};
    std::optional<base::byte_holding> held{};
    pool_clock::time_point deadline{pool_clock::time_point::max()};
    pool_clock::time_point timer{}; /**< Its entry in the order of timers. */

    [[nodiscard]] std::size_t size() const noexcept { return head.size() + message.body.size(); }
    [[nodiscard]] bool all_sent() const noexcept { return sent == size(); }
};

} // namespace internal

struct pooled_client::state {
    using call = internal::pooled_call;
    using call_ptr = std::unique_ptr<call>;
    using outcome = base::result<response>;

    const base::clock &time;
    mutable std::mutex mutex;
    std::uint64_t next_id{1};
    bool stopping{false};
    std::vector<call_ptr> starting;
    std::vector<std::uint64_t> cancelling;
    std::optional<std::vector<pooled_server>> servers;
    connection_counts counts;

    const owned_socket poller{internal::valid_or_throw(::epoll_create1(EPOLL_CLOEXEC))};
    const owned_socket wakeup{internal::valid_or_throw(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))};
    connection_pool pool;
    std::unordered_map<std::uint64_t, call_ptr> active;
    std::unordered_map<int, call *> by_socket;
    std::set<std::pair<internal::pool_clock::time_point, std::uint64_t>> timers;
    internal::pool_clock::time_point expiry_due{};
    std::array<char, internal::input_bytes> input{};
    std::thread thread;

    explicit state(const base::clock &now) : time{now} { watch(wakeup.get(), EPOLL_CTL_ADD, EPOLLIN); }

    void watch(int fd, int operation, std::uint32_t events) const {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        ::epoll_ctl(poller.get(), operation, fd, &event);
    }

    void wake() const {
        const std::uint64_t one = 1;
        // Fails only when the counter is full, and then the thread is about to wake up anyway.
        (void)!::write(wakeup.get(), &one, sizeof one);
    }

    static outcome unknown(std::string code, const call &it, const std::string &what) {
        return base::fail(base::error_kind::unknown_outcome, std::move(code),
                          it.address + ": " + what + (it.reused ? " on a kept connection" : "") +
                              "; read the server's state before repeating");
    }

    static outcome not_reached(std::string code, const call &it, int error) {
        return base::fail(base::error_kind::unavailable, std::move(code),
                          it.address + ": " + std::generic_category().message(error) +
                              "; check that the server is running");
    }

    void set_timer(call &it, internal::pool_clock::time_point when) {
        timers.erase({it.timer, it.id});
        it.timer = std::min(when, it.deadline);
        timers.emplace(it.timer, it.id);
    }

    /** Removes a call. Its connection is no longer used by it. */
    call_ptr detach(const call &of) {
        auto it = std::move(active.extract(of.id).mapped());
        timers.erase({it->timer, it->id});
        by_socket.erase(it->connection.get());
        return it;
    }

    /** Ends a call and closes its connection. */
    void finish(const call &of, outcome answer, std::optional<drop_reason> why) {
        const auto it = detach(of);
        pool.end(it->address, it->incarnation, it->connection.get() < 0 ? std::nullopt : why);
        it->connection = owned_socket{};
        it->handlers.on_end(std::move(answer));
    }

    /** Ends a call whose request may have been sent. */
    void lose(const call &it, std::string code, const std::string &what) {
        if (it.reused && !it.bytes_seen) {
            pool.on_reuse_failed(time.now());
        }
        pool.on_failed(it.address);
        finish(it, unknown(std::move(code), it, what), drop_reason::failed);
    }

    void fail_to_connect(const call &it, std::string code, int error) {
        pool.on_refused(it.address, time.now());
        finish(it, not_reached(std::move(code), it, error), drop_reason::failed);
    }

    void start(call_ptr posted) {
        auto &it = *posted;
        const auto now = internal::pool_clock::now();
        active.emplace(it.id, std::move(posted));
        it.head = internal::head_text(it.message, it.address);
        it.reader.emplace(it.message.method, it.options.head_limit);
        it.held.emplace(it.options.budget);
        it.incarnation = pool.begin(it.address);
        if (it.options.timeout > base::duration{0}) {
            it.deadline = now + it.options.timeout;
        }
        if (auto kept = pool.take(it.address, time.now())) {
            it.reused = true;
            it.connection = std::move(*kept);
            by_socket.emplace(it.connection.get(), &it);
            set_timer(it, it.deadline);
            return send_rest(it);
        }
        set_timer(it, now + it.options.connect_timeout);
        connect(it);
    }

    void connect(call &it) {
        const auto colon = it.address.rfind(':');
        addrinfo hints{};
        hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
        hints.ai_socktype = SOCK_STREAM;
        addrinfo *found = nullptr;
        if (colon == std::string::npos || ::getaddrinfo(it.address.substr(0, colon).c_str(),
                                                        it.address.substr(colon + 1).c_str(), &hints, &found) != 0) {
            return fail_to_connect(it, "not_reached", EINVAL);
        }
        const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> where{found, &::freeaddrinfo};
        it.connection = owned_socket{::socket(where->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        const int fd = it.connection.get();
        if (fd < 0) {
            return finish(it, not_reached("not_reached", it, errno), std::nullopt);
        }
        pool.count_opened();
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        by_socket.emplace(fd, &it);
        if (::connect(fd, where->ai_addr, where->ai_addrlen) != 0 && errno != EINPROGRESS) {
            return fail_to_connect(it, "not_reached", errno);
        }
        it.connecting = true;
        watch(fd, EPOLL_CTL_ADD, EPOLLOUT);
    }

    void connected(call &it) {
        int error = 0;
        socklen_t n = sizeof error;
        ::getsockopt(it.connection.get(), SOL_SOCKET, SO_ERROR, &error, &n);
        if (error != 0) {
            return fail_to_connect(it, "not_reached", error);
        }
        it.connecting = false;
        set_timer(it, it.deadline);
        send_rest(it);
    }

    void send_rest(call &it) {
        while (!it.all_sent() && !it.write_failed) {
            const auto head = std::string_view{it.head}.substr(std::min(it.sent, it.head.size()));
            const auto body =
                std::string_view{it.message.body}.substr(it.sent > it.head.size() ? it.sent - it.head.size() : 0);
            // sendmsg does not write to its input.
            std::array<iovec, 2> parts{
                {{const_cast<char *>(head.data()), head.size()}, {const_cast<char *>(body.data()), body.size()}}};
            msghdr message{};
            message.msg_iov = parts.data();
            message.msg_iovlen = parts.size();
            const auto n = ::sendmsg(it.connection.get(), &message, MSG_NOSIGNAL);
            if (n >= 0) {
                it.sent += static_cast<std::size_t>(n);
            } else if (internal::would_block()) {
                break;
            } else {
                // The server may have answered before it closed the connection. The socket no longer reports the error.
                it.write_failed = true;
            }
        }
        const bool more = !it.all_sent() && !it.write_failed;
        watch(it.connection.get(), EPOLL_CTL_MOD, more ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void receive(call &it) {
        const auto id = it.id;
        // The call and its connection may end with what is read.
        for (int n = 0; n < internal::reads_per_event && active.contains(id); ++n) {
            if (!receive_once(it)) {
                return;
            }
        }
    }

    /** @return False if there is nothing more to read. */
    bool receive_once(call &it) {
        const auto n = ::recv(it.connection.get(), input.data(), input.size(), 0);
        if (n > 0) {
            it.bytes_seen = true;
            read(it, {input.data(), static_cast<std::size_t>(n)});
            return static_cast<std::size_t>(n) == input.size();
        }
        if (n < 0 && internal::would_block()) {
            return false;
        }
        if (n < 0) {
            lose(it, "connection_lost", std::generic_category().message(errno));
        } else if (!it.skipping && it.reader->is_whole_at(end_of_connection(it.connection.get(), it.all_sent()))) {
            complete(it, false);
        } else {
            lose(it, "connection_lost", "the connection ended before the answer");
        }
        return false;
    }

    void read(call &it, std::string_view in) {
        while (true) {
            switch (it.reader->next(in)) {
            case read_step::more:
                return;
            case read_step::head:
                if (!on_head(it)) {
                    return lose(it, "answer_unreadable", "the answer belongs to no known request");
                }
                break;
            case read_step::part:
                if (!it.skipping && !on_part(it)) {
                    return;
                }
                break;
            case read_step::done:
                if (!it.skipping) {
                    return complete(it, in.empty());
                }
                it.skipping = false;
                it.reader.emplace(it.message.method, it.options.head_limit);
                break;
            case read_step::malformed:
                return lose(it, "answer_unreadable", "the answer is not HTTP/1.1");
            case read_step::too_long:
                return lose(it, "answer_too_long", "the head has no end within the limit, check the server");
            }
        }
    }

    /** @return False if the answer cannot belong to the request. */
    static bool on_head(call &it) {
        const auto &reader = *it.reader;
        const auto owner = it.owner(it.message, reader.fields());
        it.is_own = owner == answer_owner::own;
        if (it.reused && !it.is_own) {
            it.skipping = owner == answer_owner::other && reader.framed() && reader.persistent() &&
                          ++it.skipped <= internal::most_skipped;
            return it.skipping;
        }
        it.answer.status = reader.status();
        it.answer.fields = reader.fields();
        if (it.handlers.on_head) {
            it.handlers.on_head(it.answer.status, it.answer.fields);
        }
        return true;
    }

    /** @return False if the call has ended. */
    bool on_part(call &it) {
        const auto part = it.reader->part();
        if (it.handlers.on_data && it.answer.status == 200) {
            const bool wanted = it.handlers.on_data(part);
            if (!wanted) {
                finish(it, std::move(it.answer), drop_reason::answer);
            }
            return wanted;
        }
        const auto size = it.answer.body.size() + part.size();
        if (size > it.options.body_limit || !it.held->resize(size)) {
            lose(it, "answer_too_long", "the response has no end within the limit, check the server");
            return false;
        }
        it.answer.body.append(part);
        return true;
    }

    /** @param clean True if no byte has come after the answer. */
    void complete(const call &of, bool clean) {
        const auto &reader = *of.reader;
        const bool keep = clean && of.is_own && of.skipped == 0 && of.all_sent() && reader.framed() &&
                          reader.persistent() && reader.status() != internal::misdirected;
        if (of.reused) {
            pool.on_reuse_answered();
        }
        const auto it = detach(of);
        if (reader.status() == internal::misdirected) {
            pool.on_failed(it->address);
        }
        if (keep) {
            watch(it->connection.get(), EPOLL_CTL_MOD, EPOLLIN | EPOLLRDHUP);
            pool.give_back(it->address, it->incarnation, std::move(it->connection),
                           internal::keep_alive_of(it->answer.fields), time.now());
        } else {
            pool.end(it->address, it->incarnation, drop_reason::answer);
        }
        it->connection = owned_socket{};
        it->handlers.on_end(std::move(it->answer));
    }

    void cancel_active(std::uint64_t id) {
        const auto found = active.find(id);
        if (found == active.end()) {
            return;
        }
        const auto &it = *found->second;
        if (it.reused && !it.bytes_seen) {
            // Connections that go silent do so together.
            pool.on_failed(it.address);
        }
        finish(it, base::fail(base::error_kind::unknown_outcome, "cancelled", "the call was cancelled by its caller"),
               drop_reason::answer);
    }

    bool take_posted() {
        std::vector<call_ptr> fresh;
        std::vector<std::uint64_t> dropped;
        std::optional<std::vector<pooled_server>> listed;
        bool stop = false;
        {
            const std::scoped_lock lock{mutex};
            fresh.swap(starting);
            dropped.swap(cancelling);
            listed.swap(servers);
            stop = stopping;
            counts = pool.counts();
        }
        if (listed) {
            pool.set_servers(*listed);
        }
        for (auto &it : fresh) {
            start(std::move(it));
        }
        for (const auto id : dropped) {
            cancel_active(id);
        }
        return !stop;
    }

    [[nodiscard]] int wait_ms() const {
        std::chrono::milliseconds wait{internal::expiry_period};
        if (!timers.empty()) {
            const auto left = timers.begin()->first - internal::pool_clock::now();
            wait = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(left), std::chrono::milliseconds{0}, wait);
        }
        return static_cast<int>(wait.count());
    }

    void on_event(int fd, std::uint32_t events) {
        if (fd == wakeup.get()) {
            std::uint64_t count = 0;
            (void)!::read(wakeup.get(), &count, sizeof count);
            return;
        }
        const auto found = by_socket.find(fd);
        if (found == by_socket.end()) {
            return pool.on_event(fd);
        }
        auto &it = *found->second;
        if (it.connecting) {
            return connected(it);
        }
        if ((events & EPOLLOUT) != 0) {
            send_rest(it);
        }
        if ((events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) {
            receive(it);
        }
    }

    void end_overdue(internal::pool_clock::time_point now) {
        while (!timers.empty() && timers.begin()->first <= now) {
            const auto &it = *active.at(timers.begin()->second);
            if (it.connecting) {
                pool.on_failed(it.address);
                finish(it, not_reached("connect_timeout", it, ETIMEDOUT), drop_reason::failed);
            } else {
                lose(it, "no_answer", std::generic_category().message(ETIMEDOUT));
            }
        }
    }

    void run() {
        std::array<epoll_event, internal::pool_event_batch> events{};
        while (take_posted()) {
            const int n = ::epoll_wait(poller.get(), events.data(), static_cast<int>(events.size()), wait_ms());
            for (int it = 0; it < n; ++it) {
                const auto &event = events.at(static_cast<std::size_t>(it));
                on_event(event.data.fd, event.events);
            }
            const auto now = internal::pool_clock::now();
            end_overdue(now);
            if (now >= expiry_due) {
                expiry_due = now + internal::expiry_period;
                pool.expire(time.now());
            }
        }
        while (!active.empty()) {
            cancel_active(active.begin()->first);
        }
    }
};

pooled_client::pooled_client(const base::clock &time) : state_{std::make_unique<state>(time)} {
    state_->thread = std::thread{[it = state_.get()] { it->run(); }};
}

pooled_client::~pooled_client() {
    stop();
}

void pooled_client::set_servers(std::span<const pooled_server> all) {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->servers.emplace(all.begin(), all.end());
    }
    state_->wake();
}

std::uint64_t pooled_client::send(std::string_view address, request message, call_options options,
                                  async_handlers handlers, owner_check owner) {
    auto it = std::make_unique<internal::pooled_call>();
    it->address = address;
    it->message = std::move(message);
    it->options = options;
    it->handlers = std::move(handlers);
    it->owner = std::move(owner);
    const auto on_end = it->handlers.on_end;
    std::uint64_t id = 0;
    bool stopping = false;
    {
        const std::scoped_lock lock{state_->mutex};
        id = state_->next_id++;
        it->id = id;
        stopping = state_->stopping;
        if (!stopping) {
            state_->starting.push_back(std::move(it));
        }
    }
    if (stopping) {
        on_end(base::fail(base::error_kind::unavailable, "stopping", "the client is stopping"));
    }
    state_->wake();
    return id;
}

void pooled_client::cancel(std::uint64_t id) {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->cancelling.push_back(id);
    }
    state_->wake();
}

void pooled_client::stop() {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->stopping = true;
    }
    state_->wake();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

connection_counts pooled_client::counts() const {
    const std::scoped_lock lock{state_->mutex};
    return state_->counts;
}

} // namespace dotterelstack::http
