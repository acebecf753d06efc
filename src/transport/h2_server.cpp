#include "transport/h2_server.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <utility>

#include "net/listener.hpp"

namespace dotterelstack::transport {

namespace internal {

// Largest amount of unsent response body kept for a slow peer.
constexpr std::size_t stream_buffer_bytes = std::size_t{8} << 20U;
// Time in which handshakes that have begun are done; round trips between hosts of a site are shorter.
constexpr auto handshake_time = std::chrono::milliseconds{50};
// Longest time in which `quiesce` waits for peers to confirm the notice; later streams are handled all the same.
constexpr auto notice_time = std::chrono::milliseconds{200};
constexpr auto notice_poll = std::chrono::milliseconds{1};
constexpr auto drain_poll = std::chrono::milliseconds{10};

struct server_stream {
    event_loop *loop{nullptr};
    std::weak_ptr<server_connection> connection;
    std::int32_t id{0};
    http::request message;
    std::atomic<bool> gone{false};
    std::mutex mutex;
    std::string pending;
    bool pending_end{false};
    bool flush_posted{false};
    bool started{false};
};

class server_connection final : public h2_connection {
public:
    server_connection(event_loop &loop, const base::clock &clock, h2_timings timings,
                      std::shared_ptr<h2_acceptor> owner)
        : h2_connection{loop, clock, timings, side::server}, owner_{std::move(owner)} {}

    void send_head(std::int32_t stream, int status, const http::field_list &fields) {
        if (!is_open()) {
            return;
        }
        http::field_list all{{":status", std::to_string(status)}};
        all.insert(all.end(), fields.begin(), fields.end());
        submit(stream, all, true);
        send_pending();
    }

protected:
    void on_headers(std::int32_t stream, http::field_list fields) override;
    void on_data(std::int32_t stream, std::string_view part) override {
        if (const auto it = streams_.find(stream); it != streams_.end()) {
            it->second->message.body.append(part);
        }
    }
    void on_message_end(std::int32_t stream) override;
    void on_stream_closed(std::int32_t stream, std::uint32_t /*code*/) override {
        if (const auto it = streams_.find(stream); it != streams_.end()) {
            it->second->gone = true;
            streams_.erase(it);
        }
    }
    void on_shut(close_reason reason) override;

private:
    std::shared_ptr<h2_acceptor> owner_;
    std::map<std::int32_t, std::shared_ptr<server_stream>> streams_;
};

class h2_acceptor final : public ACE_Event_Handler, public std::enable_shared_from_this<h2_acceptor> {
public:
    h2_acceptor(event_loop &loop, const base::clock &clock, h2_timings timings, h2_handler on_request)
        : ACE_Event_Handler{&loop.reactor()}, handler{std::move(on_request)}, loop_{loop}, clock_{clock},
          timings_{timings} {}
    h2_acceptor(const h2_acceptor &) = delete;
    h2_acceptor &operator=(const h2_acceptor &) = delete;
    h2_acceptor(h2_acceptor &&) = delete;
    h2_acceptor &operator=(h2_acceptor &&) = delete;
    ~h2_acceptor() override = default;

    bool open(net::listener listener) {
        listener_ = std::move(listener);
        listening_ = reactor()->register_handler(this, ACE_Event_Handler::ACCEPT_MASK) == 0;
        return listening_;
    }

    int handle_input(ACE_HANDLE /*handle*/) override {
        accept_waiting();
        return 0;
    }

    [[nodiscard]] ACE_HANDLE get_handle() const override { return listener_.fd(); }

    /** @return True if handshakes that have begun need time. */
    [[nodiscard]] bool hold_off() const noexcept { return listening_ && listener_.hold_off(); }

    void quiesce() {
        if (std::exchange(listening_, false)) {
            accept_waiting();
            reactor()->remove_handler(this, ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
            listener_.shut();
        }
        const auto copy = connections;
        for (const auto &it : copy) {
            it->announce_shutdown();
        }
    }

    void stop() {
        quiesce();
        const auto copy = connections;
        for (const auto &it : copy) {
            it->shut(close_reason::local);
        }
    }

    h2_handler handler;
    std::set<std::shared_ptr<server_connection>> connections;

private:
    void accept_waiting() {
        for (int fd = accept_one(); fd >= 0; fd = accept_one()) {
            const auto it = std::make_shared<server_connection>(loop_, clock_, timings_, shared_from_this());
            connections.insert(it);
            it->open(ACE_SOCK_Stream{fd});
        }
    }

    /** @return The socket, or -1 if none waits. */
    [[nodiscard]] int accept_one() const noexcept {
        int fd = -1;
        do {
            fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            // Neither says anything about the connections behind.
        } while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
        return fd;
    }

    event_loop &loop_;
    const base::clock &clock_;
    const h2_timings timings_;
    net::listener listener_;
    bool listening_{false};
};

void server_connection::on_headers(std::int32_t stream, http::field_list fields) {
    if (streams_.contains(stream)) {
        return;
    }
    auto it = std::make_shared<server_stream>();
    it->loop = &loop_;
    it->connection = std::static_pointer_cast<server_connection>(shared_from_this());
    it->id = stream;
    for (auto &field : fields) {
        if (field.name == ":method") {
            it->message.method = field.value;
        } else if (field.name == ":path") {
            it->message.target = field.value;
        } else if (!field.name.starts_with(':')) {
            it->message.fields.push_back(std::move(field));
        }
    }
    streams_.emplace(stream, std::move(it));
}

void server_connection::on_message_end(std::int32_t stream) {
    if (const auto it = streams_.find(stream); it != streams_.end()) {
        owner_->handler(h2_stream{it->second});
    }
}

void server_connection::on_shut(close_reason /*reason*/) {
    for (const auto &[id, it] : streams_) {
        it->gone = true;
    }
    streams_.clear();
    // The connection may be inside one of its own handlers; its last reference goes later.
    loop_.post([self = shared_from_this(), owner = owner_] {
        owner->connections.erase(std::static_pointer_cast<server_connection>(self));
    });
}

namespace {

void flush(const std::shared_ptr<server_stream> &it) {
    std::string part;
    bool last = false;
    {
        const std::scoped_lock lock{it->mutex};
        part.swap(it->pending);
        last = it->pending_end;
        it->flush_posted = false;
    }
    if (const auto connection = it->connection.lock()) {
        connection->append_body(it->id, part, last);
    }
}

void post_flush_locked(const std::shared_ptr<server_stream> &it) {
    if (!it->flush_posted) {
        it->flush_posted = true;
        it->loop->post([it] { flush(it); });
    }
}

} // namespace

} // namespace internal

const http::request &h2_stream::message() const noexcept {
    return state_->message;
}

void h2_stream::start(int status, const http::field_list &fields) const {
    const std::scoped_lock lock{state_->mutex};
    if (state_->started) {
        return;
    }
    state_->started = true;
    state_->loop->post([it = state_, status, fields] {
        if (const auto connection = it->connection.lock()) {
            connection->send_head(it->id, status, fields);
        }
    });
}

void h2_stream::respond(const http::response &answer) const {
    start(answer.status, answer.fields);
    (void)write(answer.body);
    finish();
}

bool h2_stream::write(std::string_view part) const {
    const std::scoped_lock lock{state_->mutex};
    if (state_->gone || state_->pending.size() + part.size() > internal::stream_buffer_bytes) {
        return false;
    }
    state_->pending.append(part);
    internal::post_flush_locked(state_);
    return true;
}

void h2_stream::finish() const {
    const std::scoped_lock lock{state_->mutex};
    state_->pending_end = true;
    internal::post_flush_locked(state_);
}

void h2_stream::abort() const {
    state_->loop->post([it = state_] {
        if (const auto connection = it->connection.lock()) {
            connection->reset(it->id, NGHTTP2_INTERNAL_ERROR);
        }
    });
}

bool h2_stream::peer_gone() const noexcept {
    return state_->gone;
}

h2_server::h2_server(event_loop &loop, const base::clock &clock, h2_timings timings)
    : loop_{loop}, clock_{clock}, timings_{timings} {}

h2_server::~h2_server() {
    stop();
}

base::result<std::string> h2_server::listen(std::string_view address, h2_handler handler) {
    BOOST_OUTCOME_TRY(listener, net::listener::open(address));
    return listen(std::move(listener), std::move(handler));
}

base::result<std::string> h2_server::listen(net::listener listener, h2_handler handler) {
    acceptor_ = std::make_shared<internal::h2_acceptor>(loop_, clock_, timings_, std::move(handler));
    auto bound = listener.address();
    bool ok = false;
    loop_.run_and_wait([&] { ok = acceptor_->open(std::move(listener)); });
    if (!ok) {
        return base::fail(base::error_kind::unavailable, "cannot_listen",
                          "cannot serve on " + bound + "; raise the limit on descriptors");
    }
    return bound;
}

void h2_server::quiesce() {
    if (!acceptor_) {
        return;
    }
    bool pending = false;
    loop_.run_and_wait([&] { pending = acceptor_->hold_off(); });
    if (pending) {
        std::this_thread::sleep_for(internal::handshake_time);
    }
    loop_.run_and_wait([this] { acceptor_->quiesce(); });
    const auto until = clock_.now() + internal::notice_time;
    for (bool known = false; !known && clock_.now() < until;) {
        loop_.run_and_wait([&] {
            known = std::ranges::all_of(acceptor_->connections,
                                        [](const auto &it) { return !it->is_open() || it->shutdown_confirmed(); });
        });
        if (!known) {
            std::this_thread::sleep_for(internal::notice_poll);
        }
    }
}

bool h2_server::drain(base::instant until) {
    while (connections() > 0) {
        if (clock_.now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(internal::drain_poll);
    }
    return true;
}

std::size_t h2_server::connections() {
    std::size_t out = 0;
    if (acceptor_) {
        loop_.run_and_wait([this, &out] { out = acceptor_->connections.size(); });
    }
    return out;
}

void h2_server::stop() {
    if (acceptor_) {
        loop_.run_and_wait([this] { acceptor_->stop(); });
        // Connections drop their last references in tasks posted by stop(); wait for those, too.
        loop_.run_and_wait([] {});
        acceptor_.reset();
    }
}

} // namespace dotterelstack::transport
