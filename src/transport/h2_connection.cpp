#include "transport/h2_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include "http/status.hpp"

namespace dotterelstack::transport::internal {

namespace {

constexpr std::int32_t window_bytes = 1 << 20;
constexpr std::uint32_t max_streams = 4096;
constexpr std::size_t read_block_bytes = 65536;
// Payload of the ping that follows the notice of a shutdown, to tell its answer from those of other pings.
constexpr std::array<std::uint8_t, 8> notice_ping{'s', 'h', 'u', 't', 'd', 'o', 'w', 'n'};
// Last stream in a GOAWAY frame that only gives notice, see RFC 9113, section 6.8.
constexpr std::int32_t notice_stream = 0x7fffffff;
// Longest wait for the peer to close its side of a connection on which all has been sent.
constexpr auto finish_time = std::chrono::seconds{2};

} // namespace

/** Static functions that nghttp2 calls with the connection as user data. */
struct h2_connection::callbacks {
    static h2_connection &self(void *user) { return *static_cast<h2_connection *>(user); }

    static int begin_headers(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) {
        auto &it = self(user);
        it.incoming_fields_[frame->hd.stream_id].clear();
        if (it.side_ == side::server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            ++it.open_streams_;
        }
        return 0;
    }

    static int header(nghttp2_session * /*session*/, const nghttp2_frame *frame, const std::uint8_t *name,
                      std::size_t name_size, const std::uint8_t *value, std::size_t value_size, std::uint8_t /*flags*/,
                      void *user) {
        http::field it{std::string{reinterpret_cast<const char *>(name), name_size},
                       std::string{reinterpret_cast<const char *>(value), value_size}};
        // nghttp2 accepts any three digits.
        if (it.name == ":status" && !http::to_status(it.value)) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        self(user).incoming_fields_[frame->hd.stream_id].push_back(std::move(it));
        return 0;
    }

    static int frame_received(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) {
        auto &it = self(user);
        const auto stream = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_HEADERS) {
            auto fields = std::move(it.incoming_fields_[stream]);
            it.incoming_fields_.erase(stream);
            it.on_headers(stream, std::move(fields));
        }
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
            if (std::ranges::equal(frame->ping.opaque_data, notice_ping)) {
                // The peer has read the notice, so that all streams it will ever open have arrived.
                it.shutdown_confirmed_ = true;
                nghttp2_submit_goaway(it.session_, NGHTTP2_FLAG_NONE,
                                      nghttp2_session_get_last_proc_stream_id(it.session_), NGHTTP2_NO_ERROR, nullptr,
                                      0);
            } else {
                it.ping_outstanding_ = false;
            }
        }
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            it.draining_ = true;
        }
        const bool message_frame = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (message_frame && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            it.on_message_end(stream);
        }
        return 0;
    }

    static int frame_sent(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            self(user).on_headers_sent(frame->hd.stream_id);
        } else if (frame->hd.type == NGHTTP2_GOAWAY) {
            self(user).on_goaway_sent(frame->goaway.last_stream_id);
        }
        return 0;
    }

    static int data(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                    const std::uint8_t *data, std::size_t size, void *user) {
        self(user).on_data(stream, {reinterpret_cast<const char *>(data), size});
        return 0;
    }

    static int stream_closed(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t code, void *user) {
        auto &it = self(user);
        it.bodies_.erase(stream);
        it.incoming_fields_.erase(stream);
        it.open_streams_ -= std::min<std::size_t>(it.open_streams_, 1);
        it.idle_since_ = it.clock_.now();
        it.on_stream_closed(stream, code);
        return 0;
    }

    static ssize_t read_body(nghttp2_session * /*session*/, std::int32_t stream, std::uint8_t *buf, std::size_t limit,
                             std::uint32_t *flags, nghttp2_data_source * /*source*/, void *user) {
        auto &it = self(user).bodies_[stream];
        if (it.buffer.empty() && !it.last) {
            it.deferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        const std::size_t n = it.buffer.copy(reinterpret_cast<char *>(buf), limit);
        it.buffer.erase(0, n);
        if (it.buffer.empty() && it.last) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(n);
    }
};

h2_connection::h2_connection(event_loop &loop, const base::clock &clock, h2_timings timings, side which)
    : ACE_Event_Handler{&loop.reactor()}, loop_{loop}, clock_{clock}, timings_{timings}, side_{which} {}

h2_connection::~h2_connection() {
    if (session_ != nullptr) {
        nghttp2_session_del(session_);
    }
    socket_.close();
}

void h2_connection::open(const ACE_SOCK_Stream &socket) {
    socket_.set_handle(socket.get_handle());
    socket_.enable(ACE_NONBLOCK);
    int on = 1;
    socket_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    idle_since_ = clock_.now();
    start_session();
    reactor()->register_handler(this, ACE_Event_Handler::READ_MASK);
    send_pending();
    schedule_ping();
}

void h2_connection::start_session() {
    nghttp2_session_callbacks *table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(table, &callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(table, &callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, &callbacks::frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(table, &callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &callbacks::data);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, &callbacks::stream_closed);
    if (side_ == side::server) {
        nghttp2_session_server_new(&session_, table, this);
    } else {
        nghttp2_session_client_new(&session_, table, this);
    }
    nghttp2_session_callbacks_del(table);
    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams}, {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes * 4);
}

void h2_connection::shut(close_reason reason) {
    if (session_ == nullptr) {
        return;
    }
    const auto keep = shared_from_this();
    reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    // nghttp2 must not be freed inside one of its own callbacks, which may have led here.
    loop_.post([keep, session = session_] { nghttp2_session_del(session); });
    session_ = nullptr;
    socket_.close();
    bodies_.clear();
    on_shut(reason);
}

void h2_connection::announce_shutdown() {
    if (session_ != nullptr && !std::exchange(shutdown_announced_, true)) {
        draining_ = true;
        nghttp2_submit_shutdown_notice(session_);
        send_pending();
    }
}

void h2_connection::on_goaway_sent(std::int32_t last_stream) {
    // nghttp2 sends pings ahead of other frames, so the ping is submitted only after the notice has left.
    if (shutdown_announced_ && last_stream == notice_stream) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, notice_ping.data());
    }
}

void h2_connection::finish() {
    if (side_ == side::client) {
        return shut(close_reason::local);
    }
    if (std::exchange(finishing_, true)) {
        return;
    }
    // Closing a socket with unread bytes resets the connection, and the peer loses what it has not received yet.
    if (::shutdown(socket_.get_handle(), SHUT_WR) != 0) {
        return shut(close_reason::peer_closed);
    }
    loop_.after(finish_time, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->shut(close_reason::local);
        }
    });
}

std::int32_t h2_connection::submit(std::int32_t stream, const http::field_list &fields, bool with_body) {
    std::vector<nghttp2_nv> table;
    table.reserve(fields.size());
    for (const auto &it : fields) {
        table.push_back({reinterpret_cast<std::uint8_t *>(const_cast<char *>(it.name.data())),
                         reinterpret_cast<std::uint8_t *>(const_cast<char *>(it.value.data())), it.name.size(),
                         it.value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    nghttp2_data_provider provider{};
    provider.read_callback = &callbacks::read_body;
    const auto *body = with_body ? &provider : nullptr;
    if (side_ == side::server) {
        return nghttp2_submit_response(session_, stream, table.data(), table.size(), body);
    }
    const auto id = nghttp2_submit_request(session_, nullptr, table.data(), table.size(), body, nullptr);
    if (id > 0) {
        ++open_streams_;
    }
    return id;
}

void h2_connection::append_body(std::int32_t stream, std::string_view part, bool last) {
    if (session_ == nullptr || nghttp2_session_find_stream(session_, stream) == nullptr) {
        return;
    }
    if (!last && part.empty()) {
        return;
    }
    auto &it = bodies_[stream];
    it.buffer.append(part);
    it.last = it.last || last;
    if (it.deferred) {
        it.deferred = false;
        nghttp2_session_resume_data(session_, stream);
    }
    send_pending();
}

void h2_connection::append_body_unsent(std::int32_t stream, std::string_view body) {
    auto &it = bodies_[stream];
    it.buffer = body;
    it.last = true;
}

void h2_connection::reset(std::int32_t stream, std::uint32_t code) {
    if (session_ != nullptr) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, code);
        send_pending();
    }
}

int h2_connection::handle_input(ACE_HANDLE /*handle*/) {
    const auto keep = shared_from_this();
    std::array<char, read_block_bytes> buf{};
    const ssize_t n = socket_.recv(buf.data(), buf.size());
    if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
        return 0;
    }
    if (n <= 0) {
        shut(close_reason::peer_closed);
        return 0;
    }
    loop_.count_bytes(0, static_cast<std::uint64_t>(n));
    if (finishing_) {
        return 0;
    }
    const auto *data = reinterpret_cast<const std::uint8_t *>(buf.data());
    if (nghttp2_session_mem_recv(session_, data, static_cast<std::size_t>(n)) < 0) {
        shut(close_reason::protocol_error);
        return 0;
    }
    send_pending();
    return 0;
}

int h2_connection::handle_output(ACE_HANDLE /*handle*/) {
    const auto keep = shared_from_this();
    send_pending();
    return 0;
}

bool h2_connection::write_buffered() {
    while (!output_.empty()) {
        const ssize_t n = ::send(socket_.get_handle(), output_.data(), output_.size(), MSG_NOSIGNAL);
        if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
            return true;
        }
        if (n <= 0) {
            return false;
        }
        loop_.count_bytes(static_cast<std::uint64_t>(n), 0);
        output_.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

void h2_connection::send_pending() {
    if (session_ == nullptr || finishing_) {
        return;
    }
    // Frames are gathered up to one block, so that small chunks share a system call.
    while (output_.size() < read_block_bytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(session_, &data);
        if (n <= 0) {
            break;
        }
        output_.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
        if (output_.size() >= read_block_bytes && !write_buffered()) {
            shut(close_reason::peer_closed);
            return;
        }
    }
    if (!write_buffered()) {
        shut(close_reason::peer_closed);
        return;
    }
    if (!output_.empty() != want_write_) {
        want_write_ = !output_.empty();
        if (want_write_) {
            reactor()->schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        } else {
            reactor()->cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        }
    }
    const bool over = nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
    if (over && output_.empty()) {
        finish();
    }
}

void h2_connection::schedule_ping() {
    const std::weak_ptr<h2_connection> self{weak_from_this()};
    loop_.after(timings_.ping_interval, [self] {
        if (const auto it = self.lock(); it && it->is_open()) {
            it->on_ping_timer();
        }
    });
}

void h2_connection::on_ping_timer() {
    const auto now = clock_.now();
    if (ping_outstanding_ && now - ping_sent_ >= timings_.ping_deadline) {
        shut(close_reason::silent);
        return;
    }
    if (side_ == side::client && open_streams_ == 0 && now - idle_since_ >= timings_.idle_close) {
        shut(close_reason::local);
        return;
    }
    if (!ping_outstanding_) {
        ping_outstanding_ = true;
        ping_sent_ = now;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        send_pending();
    }
    if (is_open()) {
        schedule_ping();
    }
}

} // namespace dotterelstack::transport::internal
