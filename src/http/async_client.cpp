#include "http/async_client.hpp"

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/curl_transfer.hpp"

namespace dotterelstack::http {

namespace internal {

// Longest wait of the transfer thread without any event; posted work wakes it earlier.
constexpr int poll_wait_ms = 1000;

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

    std::mutex mutex;
    std::uint64_t next_id{1};
    bool stopping{false};
    std::vector<std::unique_ptr<internal::async_transfer>> starting;
    std::vector<std::uint64_t> cancelling;
    multi_ptr multi{curl_multi_init(), &curl_multi_cleanup};
    std::map<CURL *, std::unique_ptr<internal::async_transfer>> active;
    std::thread thread;

    void end(std::unique_ptr<internal::async_transfer> it, base::result<response> answer) {
        curl_multi_remove_handle(multi.get(), it->handle.get());
        it->handlers.on_end(std::move(answer));
    }

    static base::result<response> cancelled() {
        return base::fail(base::error_kind::unknown_outcome, "cancelled", "the call was cancelled by its caller");
    }

    void start(std::unique_ptr<internal::async_transfer> it) {
        it->handle = internal::easy_ptr{curl_easy_init(), &curl_easy_cleanup};
        if (it->handlers.on_data) {
            it->detail.sink = &it->handlers.on_data;
        }
        if (it->handlers.on_head) {
            it->detail.head = &it->handlers.on_head;
        }
        internal::prepare(it->handle.get(), it->detail, it->address, it->options);
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

    void run() {
        while (take_posted()) {
            int running = 0;
            curl_multi_perform(multi.get(), &running);
            collect();
            curl_multi_poll(multi.get(), nullptr, 0, internal::poll_wait_ms, nullptr);
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
    curl_multi_wakeup(state_->multi.get());
    return id;
}

void async_client::cancel(std::uint64_t id) {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->cancelling.push_back(id);
    }
    curl_multi_wakeup(state_->multi.get());
}

void async_client::stop() {
    {
        const std::scoped_lock lock{state_->mutex};
        state_->stopping = true;
    }
    curl_multi_wakeup(state_->multi.get());
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

} // namespace dotterelstack::http
