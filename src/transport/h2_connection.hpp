#pragma once

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>
#include <cstdint>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "http/message.hpp"
#include "transport/event_loop.hpp"

namespace dotterelstack::transport {

/** @brief Times by which a connection is found silent. */
struct h2_timings {
    base::duration ping_interval{std::chrono::milliseconds{500}};
    base::duration ping_deadline{std::chrono::milliseconds{1500}};
    base::duration connect_timeout{std::chrono::milliseconds{1000}};
    base::duration idle_close{std::chrono::seconds{30}}; /**< A connection without streams is closed after this. */
};

namespace internal {

/** @brief Why a connection ended. */
enum class close_reason {
    peer_closed,
    silent,
    local,
    protocol_error
};

/**
 * @brief One nghttp2 session on a non-blocking socket. Lives on the event loop's thread; subclasses handle streams.
 */
class h2_connection : public ACE_Event_Handler, public std::enable_shared_from_this<h2_connection> {
public:
    enum class side {
        client,
        server
    };

    h2_connection(event_loop &loop, const base::clock &clock, h2_timings timings, side which);
    h2_connection(const h2_connection &) = delete;
    h2_connection &operator=(const h2_connection &) = delete;
    ~h2_connection() override;

    /** @brief Takes a connected socket over and starts the session. */
    void open(const ACE_SOCK_Stream &socket);

    /** @brief Ends the connection; every open stream is reported closed. */
    void shut(close_reason reason);

    /**
     * @brief Tells the peer to open no further streams. Those that it has opened meanwhile are still taken; the
     * connection ends when they are over.
     */
    void announce_shutdown();

    /** @brief Appends to the body of a stream and sends what can be sent. */
    void append_body(std::int32_t stream, std::string_view part, bool last);

    /** @brief Resets a stream. */
    void reset(std::int32_t stream, std::uint32_t code);

    [[nodiscard]] bool is_open() const noexcept { return session_ != nullptr; }
    [[nodiscard]] bool draining() const noexcept { return draining_; }
    /** @return True once no further stream can begin, after `announce_shutdown`. */
    [[nodiscard]] bool shutdown_confirmed() const noexcept { return shutdown_confirmed_; }

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    [[nodiscard]] ACE_HANDLE get_handle() const override { return socket_.get_handle(); }

protected:
    /** @brief All header fields of a message have arrived. */
    virtual void on_headers(std::int32_t stream, http::field_list fields) = 0;
    virtual void on_data(std::int32_t stream, std::string_view part) = 0;
    /** @brief The peer has sent the end of the message. */
    virtual void on_message_end(std::int32_t stream) = 0;
    /** @brief The stream is over; `code` is an nghttp2 error code, 0 when it ended properly. */
    virtual void on_stream_closed(std::int32_t stream, std::uint32_t code) = 0;
    /** @brief The connection is over; streams that were open have not been reported closed. */
    virtual void on_shut(close_reason reason) = 0;
    /** @brief The header fields of a message have left the session. */
    virtual void on_headers_sent(std::int32_t /*stream*/) {}

    /** @brief Submits header fields with a body that follows by `append_body`. @return Stream or negative. */
    std::int32_t submit(std::int32_t stream, const http::field_list &fields, bool with_body);
    void send_pending();

    /** @brief Sets a body that is complete, before the stream's first frame is sent. */
    void append_body_unsent(std::int32_t stream, std::string_view body);

    event_loop &loop_;
    const base::clock &clock_;
    const h2_timings timings_;
    std::size_t open_streams_{0};
    base::instant idle_since_{};

private:
    struct outgoing {
        std::string buffer;
        bool last{false};
        bool deferred{false};
    };
    struct callbacks;

    void start_session();
    void schedule_ping();
    void on_ping_timer();
    void on_goaway_sent(std::int32_t last_stream);
    void finish();
    [[nodiscard]] bool write_buffered();

    const side side_;
    ACE_SOCK_Stream socket_;
    nghttp2_session *session_{nullptr};
    std::map<std::int32_t, outgoing> bodies_;
    std::map<std::int32_t, http::field_list> incoming_fields_;
    std::string output_;
    bool want_write_{false};
    bool draining_{false};
    bool shutdown_announced_{false};
    bool shutdown_confirmed_{false};
    bool finishing_{false}; /**< All is sent; only the end of the peer's side is read. */
    bool ping_outstanding_{false};
    base::instant ping_sent_{};
};

} // namespace internal

} // namespace dotterelstack::transport
