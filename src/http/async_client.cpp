#include "http/async_client.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <vector>

#include "http/curl_transfer.hpp"

namespace dotterelstack::http {

namespace internal {

// Longest wait of the transfer thread without any event; posted work wakes it earlier.
constexpr std::chrono::milliseconds longest_wait{1000};
// Events read by one call; further ones are returned by the next call.
constexpr std::size_t event_batch = 64;

/** A descriptor that is closed with its owner. */
class descriptor {
public:
    explicit descriptor(int fd) : fd_{fd} {
        if (fd_ < 0) {
            throw std::system_error{errno, std::generic_category(), "cannot create a descriptor; raise their limit"};
        }
    }
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    descriptor(descriptor &&) = delete;
    descriptor &operator=(descriptor &&) = delete;
    ~descriptor() { ::close(fd_); }

    [[nodiscard]] int get() const noexcept { return fd_; }

private:
    const int fd_;
};

int to_curl_events(std::uint32_t events) noexcept {
    return ((events & (EPOLLIN | EPOLLHUP | EPOLLRDHUP)) != 0 ? CURL_CSELECT_IN : 0) |
           ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) | ((events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0);
}

std::uint32_t to_epoll_events(int what) noexcept {
    return ((what & CURL_POLL_IN) != 0 ? static_cast<std::uint32_t>(EPOLLIN) : 0U) |
           ((what & CURL_POLL_OUT) != 0 ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
}

struct async_transfer {
    std::uint64_t id{0};
    std::string address;
    request message;
    call_options options;
    async_handlers handlers;
    easy_ptr handle{nullptr, &curl_easy_cleanup};
    transfer detail{message};
};

} // namespace internal

struct async_client::state {
    using multi_ptr = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

    using wait_clock = std::chrono::steady_clock;

    std::mutex mutex;
    std::uint64_t next_id{1};
    bool stopping{false};
    std::vector<std::unique_ptr<internal::async_transfer>> starting;
    std::vector<std::uint64_t> cancelling;
    const internal::descriptor poller{epoll_create1(EPOLL_CLOEXEC)};
    const internal::descriptor wakeup{eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)};
    std::optional<wait_clock::time_point> timer; /**< When libcurl wants to be called. */
    internal::socket_table sockets;
    multi_ptr multi{curl_multi_init(), &curl_multi_cleanup};
    std::map<CURL *, std::unique_ptr<internal::async_transfer>> active;
    std::thread thread;

    state() {
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERDATA, this);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = wakeup.get();
        epoll_ctl(poller.get(), EPOLL_CTL_ADD, wakeup.get(), &event);
    }

    static int on_socket(CURL *handle, curl_socket_t socket, int what, void *user, void *known) {
        auto &it = *static_cast<state *>(user);
        // A connection that is used again belongs to another transfer than the one that opened it.
        if (const auto of = it.active.find(handle); of != it.active.end() && what != CURL_POLL_REMOVE) {
            it.sockets.assign(socket, of->second->detail);
        }
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(it.poller.get(), EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.events = internal::to_epoll_events(what);
        event.data.fd = socket;
        epoll_ctl(it.poller.get(), known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
        // Marks the socket as known for later calls.
        curl_multi_assign(it.multi.get(), socket, user);
        return 0;
    }

    static int on_timer(CURLM * /*multi*/, long wait_ms, void *user) {
        auto &it = *static_cast<state *>(user);
        it.timer.reset();
        if (wait_ms >= 0) {
            it.timer = wait_clock::now() + std::chrono::milliseconds{wait_ms};
        }
        return 0;
    }

    void wake() const {
        const std::uint64_t one = 1;
        // Fails only when the counter is full, and then the thread is about to wake up anyway.
        (void)!::write(wakeup.get(), &one, sizeof one);
    }

    void end(std::unique_ptr<internal::async_transfer> it, base::result<response> answer) {
        curl_multi_remove_handle(multi.get(), it->handle.get());
        sockets.release(it->detail);
        it->handlers.on_end(std::move(answer));
    }

    static base::result<response> cancelled() {
        return base::fail(base::error_kind::unknown_outcome, "cancelled", "the call was cancelled by its caller");
    }

    void start(std::unique_ptr<internal::async_transfer> it) {
        it->handle = internal::new_handle();
        if (it->handlers.on_data) {
            it->detail.sink = &it->handlers.on_data;
        }
        if (it->handlers.on_head) {
            it->detail.head = &it->handlers.on_head;
        }
        internal::prepare(it->handle.get(), it->detail, it->address, it->options, sockets);
        auto *handle = it->handle.get();
        active.emplace(handle, std::move(it));
        curl_multi_add_handle(multi.get(), handle);
    }

    void cancel_active(std::uint64_t id) {
        for (auto it = active.begin(); it != active.end(); ++it) {
            if (it->second->id == id) {
                auto found = std::move(it->second);
                active.erase(it);
                end(std::move(found), cancelled());
                return;
            }
        }
    }

    bool take_posted() {
        std::vector<std::unique_ptr<internal::async_transfer>> fresh;
        std::vector<std::uint64_t> dropped;
        bool stop = false;
        {
            const std::scoped_lock lock{mutex};
            fresh.swap(starting);
            dropped.swap(cancelling);
            stop = stopping;
        }
        for (auto &it : fresh) {
            start(std::move(it));
        }
        for (const auto id : dropped) {
            cancel_active(id);
        }
        return !stop;
    }

    void collect() {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const auto ec = message->data.result;
            auto node = active.extract(message->easy_handle);
            auto it = std::move(node.mapped());
            auto answer = internal::conclude(ec, it->detail, it->address);
            end(std::move(it), std::move(answer));
        }
    }

    void act(int socket, int events) {
        int running = 0;
        curl_multi_socket_action(multi.get(), socket, events, &running);
    }

    [[nodiscard]] int wait_ms() const {
        auto wait = internal::longest_wait;
        if (timer) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(*timer - wait_clock::now());
            wait = std::clamp(left, std::chrono::milliseconds{0}, wait);
        }
        return static_cast<int>(wait.count());
    }

    void wait_and_act() {
        std::array<epoll_event, internal::event_batch> events{};
        const int n = epoll_wait(poller.get(), events.data(), static_cast<int>(events.size()), wait_ms());
        for (int it = 0; it < n; ++it) {
            const auto &event = events.at(static_cast<std::size_t>(it));
            if (event.data.fd == wakeup.get()) {
                std::uint64_t count = 0;
                (void)!::read(wakeup.get(), &count, sizeof count);
            } else {
                act(event.data.fd, internal::to_curl_events(event.events));
            }
        }
        if (timer && wait_clock::now() >= *timer) {
            timer.reset();
            act(CURL_SOCKET_TIMEOUT, 0);
        }
    }

    void run() {
        while (take_posted()) {
            wait_and_act();
            collect();
        }
        while (!active.empty()) {
            cancel_active(active.begin()->second->id);
        }
    }
};

async_client::async_client() {
    internal::ensure_curl();
    state_ = std::make_unique<state>();
    state_->thread = std::thread{[it = state_.get()] { it->run(); }};
}

async_client::~async_client() {
    stop();
}

std::uint64_t async_client::send(std::string_view address, request message, call_options options,
                                 async_handlers handlers) {
    auto it = std::make_unique<internal::async_transfer>();
    it->address = address;
    it->message = std::move(message);
    it->options = options;
    it->handlers = std::move(handlers);
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

void async_client::cancel(std::uint64_t id) {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->cancelling.push_back(id);
    }
    state_->wake();
}

void async_client::stop() {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->stopping = true;
    }
    state_->wake();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

} // namespace dotterelstack::http
