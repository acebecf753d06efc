#include "http/server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <microhttpd.h>
#include <mutex>
#include <optional>
#include <poll.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <unordered_set>
#include <vector>

#include "http/connection_ages.hpp"
#include "http/connection_room.hpp"
#include "log/event.hpp"
#include "net/listener.hpp"

namespace dotterelstack::http {

namespace internal {

// Largest amount of unread streamed body kept for a slow caller.
constexpr std::size_t stream_buffer_bytes = std::size_t{8} << 20U;
// Unit in which libmicrohttpd asks for streamed bodies.
constexpr std::size_t stream_block_bytes = 16384;

// What the process holds for a request beside its fields and its body.
constexpr std::size_t request_bytes = 2048;
// What it holds for a field beside its bytes: two strings, with room for more fields in the list.
constexpr std::size_t field_bytes = 128;
// A body makes progress whenever this much more of it has come.
constexpr std::size_t body_step_bytes = 4096;
// Bodies beyond this size leave a part of the budget to the others, one by this divisor.
constexpr std::size_t usual_body_bytes = 16384;
constexpr std::size_t usual_share_divisor = 8;
// Without progress for this long, a head or a body may be ended to make room. Callers send without pauses.
constexpr auto sender_patience = std::chrono::seconds{1};
// The same for a caller who reads an answer. Callers may read slowly.
constexpr auto reader_patience = std::chrono::seconds{5};
// Answers may exceed the budget by its part by this divisor, until those who read them slowly are ended.
constexpr std::size_t excess_divisor = 8;
// Beyond this part, which the ends of those connections need time to free, large answers are broken off.
constexpr std::size_t most_excess_divisor = 4;
// Bytes that the kernel may keep of a connection that is not read. Without a limit it is raised to megabytes.
constexpr int receive_buffer_bytes = 65536;

// Idle connections that are looked at to make room, if callers have just written to those that were idle for longest.
constexpr int room_candidates = 16;
// Part of the connections that is kept free by closing idle ones: at its limit libmicrohttpd accepts none.
constexpr std::size_t spare_divisor = 64;

// Time in which handshakes that have begun are done. Round trips of callers are shorter.
constexpr auto handshake_time = std::chrono::milliseconds{100};
// Longest time in which the queue of a listener that takes no more connections is accepted.
constexpr auto queue_time = std::chrono::seconds{1};
// A caller with an idle connection that has something to send does so within this time after its last answer.
constexpr auto settled_time = std::chrono::milliseconds{500};
// Longest wait for the server's thread, which is late only on a host that is very busy.
constexpr auto thread_patience = std::chrono::seconds{2};
constexpr auto stop_poll = std::chrono::milliseconds{10};

struct exchange_state;

bool has_unread_bytes(int fd) noexcept {
    pollfd socket{fd, POLLIN, 0};
    return ::poll(&socket, 1, 0) > 0;
}

/** @return True if bytes have arrived that nobody has read; false for a mere end of the connection. */
bool holds_request_bytes(int fd) noexcept {
    int bytes = 0;
    return ::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

struct server_state {
    MHD_Daemon *daemon{nullptr};
    // Outlives the daemon, which may use it until it has stopped.
    net::listener listener;
    std::atomic<bool> accepting{false};
    std::atomic<bool> closing_all{false}; /**< Each answer announces the end of its connection. */
    request_handler handler;
    std::size_t most_connections{0};
    base::byte_budget *budget{nullptr};
    std::size_t request_bytes{0};
    std::size_t body_copies{1};
    std::atomic<std::size_t> active{0};
    base::boottime_clock time;

    mutable std::mutex mutex;
    // Descriptors stay valid while they are in here: libmicrohttpd reports the end of a connection before it closes it.
    connection_ages ages{time};
    // By descriptor; used by the server's thread only.
    std::vector<exchange_state *> bodies;
    caller_limits limits{.header_bytes = 0, .header_timeout = base::duration{0}, .idle_timeout = base::duration{0}};
    bool limits_set{false};
    closed_connections closed;
    std::unordered_set<exchange_state *> exchanges; /**< Of the requests whose head has been read. */
    bool stopped{false};                            /**< Further requests are not read. */
    int marker{-1};                                 /**< Descriptor of `wait_for_accepted`'s connection. */
    bool marker_seen{false};

    [[nodiscard]] caller_limits current_limits() const {
        const std::scoped_lock lock{mutex};
        return limits;
    }

    void enter(int fd, connection_phase phase) {
        const std::scoped_lock lock{mutex};
        ages.enter(fd, phase);
    }

    [[nodiscard]] bool closing(int fd) const {
        const std::scoped_lock lock{mutex};
        return ages.phase(fd) == connection_phase::closing;
    }

    /** libmicrohttpd notices the end and closes the descriptor. */
    void close_locked(int fd) {
        ages.enter(fd, connection_phase::closing);
        ::shutdown(fd, SHUT_RDWR);
    }

    /** @return A connection whose caller keeps it waiting and may be ended to make room, if there is one. */
    [[nodiscard]] std::optional<int> evictable_locked() const {
        const auto body = ages.stalled(connection_phase::reading_body, sender_patience);
        const auto head = body ? body : ages.stalled(connection_phase::reading_head, sender_patience);
        return head ? head : ages.stalled(connection_phase::answering, reader_patience);
    }

    /**
     * Ends the connection that has made no progress for longest in a phase. @param count Where it is counted.
     * @return It, or nothing if there is none.
     */
    std::optional<int> evict_locked(connection_phase phase, base::duration patience, std::uint64_t &count) {
        while (const auto fd = ages.stalled(phase, patience)) {
            if (phase == connection_phase::answering || !has_unread_bytes(*fd)) {
                close_locked(*fd);
                ++count;
                return fd;
            }
            // The caller was in time; this process is slow.
            ages.enter(*fd, phase);
        }
        return std::nullopt;
    }

    void end_stalled_locked(connection_phase phase, base::duration patience) {
        while (evict_locked(phase, patience, closed.for_stop)) {
        }
    }

    /** Closes the connection with the least progress if there is no room for more. @param more Connections. */
    void make_room_locked(std::size_t more) {
        const auto spare = std::max<std::size_t>(1, most_connections / spare_divisor);
        if (ages.open() + more + spare <= most_connections ||
            evict_locked(connection_phase::reading_body, sender_patience, closed.for_room) ||
            evict_locked(connection_phase::reading_head, sender_patience, closed.for_room)) {
            return;
        }
        int looked_at = 0;
        for (const int fd : ages.idle()) {
            if (!has_unread_bytes(fd)) {
                ++closed.for_room;
                return close_locked(fd);
            }
            if (++looked_at == room_candidates) {
                break;
            }
        }
        (void)evict_locked(connection_phase::answering, reader_patience, closed.for_room);
    }

    /** Ends callers who do not read their answers, if these take more than the budget. Their memory follows later. */
    void relieve_answers() {
        if (budget == nullptr || budget->used() <= budget->limit()) {
            return;
        }
        const std::scoped_lock lock{mutex};
        // Well beyond the budget the slowest one goes, however short its pause is.
        const bool urgent = budget->used() - budget->limit() > budget->limit() / excess_divisor;
        (void)evict_locked(connection_phase::answering, urgent ? base::duration{0} : base::duration{sender_patience},
                           closed.for_room);
    }

    /** @return False if an answer would take the answers that wait far beyond the budget; usual ones always may. */
    [[nodiscard]] bool has_room_for_answer(std::size_t size) const noexcept {
        return budget == nullptr || size <= usual_body_bytes ||
               budget->used() + size <= budget->limit() + budget->limit() / most_excess_divisor;
    }

    /** Takes bytes, if need be from bodies without progress. For the server's thread only. @return False for no room.
     */
    bool hold(base::byte_holding &by, std::size_t size) {
        while (!by.try_resize(size)) {
            if (!drop_stalled_body()) {
                relieve_answers();
                return false;
            }
        }
        return true;
    }

    /** Ends a body without progress and drops what it holds. For the server's thread only. @return False for none. */
    bool drop_stalled_body();

    void on_open(int fd) {
        const std::scoped_lock lock{mutex};
        marker_seen = marker_seen || fd == marker;
        make_room_locked(1);
        ages.enter(fd, connection_phase::idle);
    }

    void on_idle(int fd) {
        const std::scoped_lock lock{mutex};
        ages.enter(fd, connection_phase::idle);
        make_room_locked(0);
    }

    void on_close(int fd) {
        const std::scoped_lock lock{mutex};
        ages.remove(fd);
    }

    /** Closes connections without a request, and those whose callers have stopped sending one. @return Those left. */
    std::size_t close_unused() {
        const std::scoped_lock lock{mutex};
        end_stalled_locked(connection_phase::idle, settled_time);
        end_stalled_locked(connection_phase::reading_head, sender_patience);
        end_stalled_locked(connection_phase::reading_body, sender_patience);
        return ages.size();
    }

    /**
     * Waits until every connection that has been taken from the listener's queue is known here: the server's thread
     * takes this function's own connection after them.
     */
    void wait_for_accepted(base::instant limit) {
        std::array<int, 2> ends{};
        if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends.data()) != 0) {
            return;
        }
        {
            const std::scoped_lock lock{mutex};
            marker = ends[0];
        }
        const sockaddr nowhere{};
        const bool added = MHD_add_connection(daemon, ends[0], &nowhere, sizeof nowhere) == MHD_YES;
        const auto seen = [this] {
            const std::scoped_lock lock{mutex};
            return marker_seen;
        };
        const auto until = std::min<base::instant>(limit, time.now() + thread_patience);
        while (added && !seen() && time.now() < until) {
            std::this_thread::sleep_for(stop_poll);
        }
        ::close(ends[1]);
    }

    /** @return False if no more requests are read. */
    [[nodiscard]] bool add(exchange_state &it) {
        const std::scoped_lock lock{mutex};
        return !stopped && exchanges.insert(&it).second;
    }

    void remove(exchange_state &it) {
        const std::scoped_lock lock{mutex};
        exchanges.erase(&it);
    }

    /** libmicrohttpd must not be stopped while connections are suspended in it. */
    void abort_all();

    /** Logs what ends without an answer when the listener or the server is closed now. */
    void report_cut() const {
        const auto waiting = accepting ? listener.waiting() : 0;
        const std::scoped_lock lock{mutex};
        const auto count = [this](connection_phase phase) { return ages.in(phase).size(); };
        const auto unread = static_cast<std::size_t>(std::ranges::count_if(ages.idle(), &holds_request_bytes));
        const auto in_use = ages.size() - count(connection_phase::idle);
        if (waiting + unread + in_use > 0) {
            log::write("connections_cut", {{"address", listener.address()},
                                           {"waiting", waiting},
                                           {"unread", unread},
                                           {"reading_head", count(connection_phase::reading_head)},
                                           {"reading", count(connection_phase::reading_body)},
                                           {"answering", count(connection_phase::answering)},
                                           {"in_use", in_use}});
        }
    }
};

/** Called by libmicrohttpd instead of ending the process by itself. */
void on_panic(void * /*user*/, const char *file, unsigned int line, const char *reason) {
    log::write_now("http_library_failed",
                   {{"file", file}, {"line", line}, {"reason", reason == nullptr ? "" : reason}});
    std::abort();
}

int descriptor_of(MHD_Connection *connection) noexcept {
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

/** State of one request; `connection` is null once libmicrohttpd has forgotten it. */
struct exchange_state : std::enable_shared_from_this<exchange_state> {
    explicit exchange_state(base::byte_budget *budget) : head_held{budget}, body_held{budget}, buffer_held{budget} {}

    std::mutex mutex;
    server_state *owner{nullptr};
    MHD_Connection *connection{nullptr};
    request message;
    std::size_t body_limit{0};
    std::size_t body_received{0};
    std::size_t body_marked{0}; /**< Received at the last step of progress. */
    bool body_too_large{false};
    bool no_room_for_body{false};
    base::byte_holding head_held;
    base::byte_holding body_held;
    base::byte_holding buffer_held;
    bool dispatched{false};
    bool suspended{false};
    bool answered{false};
    bool streaming{false};
    bool finished{false};
    bool aborted{false};
    std::atomic<bool> gone{false};
    int status{0};
    field_list fields;
    std::string buffer;

    void drop_body() {
        message.body = {};
        body_held.reset();
    }

    void resume_locked() {
        if (suspended && connection != nullptr) {
            suspended = false;
            MHD_resume_connection(connection);
        }
    }
};

using state_ptr = std::shared_ptr<exchange_state>;

void server_state::abort_all() {
    std::vector<state_ptr> all;
    {
        const std::scoped_lock lock{mutex};
        stopped = true;
        for (auto *it : exchanges) {
            all.push_back(it->shared_from_this());
        }
    }
    for (const auto &it : all) {
        const std::scoped_lock lock{it->mutex};
        it->aborted = true;
        it->resume_locked();
    }
}

bool server_state::drop_stalled_body() {
    const std::scoped_lock lock{mutex};
    const auto fd = evict_locked(connection_phase::reading_body, sender_patience, closed.for_room);
    if (!fd) {
        return false;
    }
    if (const auto n = static_cast<std::size_t>(*fd); n < bodies.size() && bodies[n] != nullptr) {
        bodies[n]->no_room_for_body = true;
        bodies[n]->drop_body();
    }
    return true;
}

/** @return False if the budget does not allow the next bytes of a body, also without the bodies that make no progress.
 */
bool hold_body(server_state &owner, exchange_state &it, std::size_t size) {
    if (owner.budget == nullptr) {
        return true;
    }
    const auto limit = owner.budget->limit();
    const auto spare = size > usual_body_bytes ? limit / usual_share_divisor : 0;
    const auto more = size - std::min(size, it.body_held.taken());
    do {
        if (owner.budget->used() + more + spare <= limit && it.body_held.try_resize(size)) {
            return true;
        }
    } while (owner.drop_stalled_body());
    return false;
}

/** Keeps the next bytes of a body, or drops what there is of it. */
void take_body(server_state &owner, exchange_state &it, std::string_view part) {
    auto &body = it.message.body;
    it.body_received += part.size();
    if (it.body_received > it.body_limit) {
        it.body_too_large = true;
    } else if (!it.no_room_for_body) {
        const auto size = body.size() + part.size();
        // The string grows by doubling, unless the size of the body is known.
        const auto capacity = size <= body.capacity() ? size : std::max(size, body.capacity() * 2);
        it.no_room_for_body = !hold_body(owner, it, std::max(capacity, it.body_held.taken()));
        if (!it.no_room_for_body) {
            body.append(part);
            return;
        }
    }
    it.drop_body();
}

/** Notes the progress of a body. */
void mark_body(server_state &owner, exchange_state &it, int fd) {
    if (it.body_received - it.body_marked >= body_step_bytes) {
        it.body_marked = it.body_received;
        owner.enter(fd, connection_phase::reading_body);
    }
}

int descriptor_of(const exchange_state &it) noexcept {
    return it.connection == nullptr ? -1 : descriptor_of(it.connection);
}

/** Part of a whole answer, which stays in place until all of it has been taken. */
ssize_t read_whole(void *user, std::uint64_t position, char *buf, std::size_t limit) {
    auto &it = **static_cast<state_ptr *>(user);
    const std::scoped_lock lock{it.mutex};
    const auto n = std::min(limit, it.buffer.size() - std::min<std::size_t>(position, it.buffer.size()));
    if (n == 0) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    it.buffer.copy(buf, n, position);
    it.owner->enter(descriptor_of(it), connection_phase::answering);
    return static_cast<ssize_t>(n);
}

ssize_t read_stream(void *user, std::uint64_t /*position*/, char *buf, std::size_t limit) {
    auto &it = **static_cast<state_ptr *>(user);
    const std::scoped_lock lock{it.mutex};
    if (!it.buffer.empty()) {
        const std::size_t n = std::min(limit, it.buffer.size());
        it.buffer.copy(buf, n);
        it.buffer.erase(0, n);
        it.buffer_held.hold(it.buffer.size());
        it.owner->enter(descriptor_of(it), connection_phase::answering);
        return static_cast<ssize_t>(n);
    }
    if (it.aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (it.finished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    it.suspended = true;
    it.owner->enter(descriptor_of(it), connection_phase::busy);
    MHD_suspend_connection(it.connection);
    return 0;
}

void free_stream(void *user) {
    delete static_cast<state_ptr *>(user);
}

MHD_Result queue_answer(const state_ptr &state, MHD_Connection *connection) {
    auto &it = *state;
    MHD_Response *answer = nullptr;
    if (it.streaming) {
        answer = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_bytes, &read_stream,
                                                   new state_ptr{state}, &free_stream);
    } else if (it.buffer.size() > stream_block_bytes) {
        answer = MHD_create_response_from_callback(it.buffer.size(), stream_block_bytes, &read_whole,
                                                   new state_ptr{state}, &free_stream);
    } else {
        answer = MHD_create_response_from_buffer(it.buffer.size(), it.buffer.data(), MHD_RESPMEM_MUST_COPY);
    }
    for (const auto &field : it.fields) {
        MHD_add_response_header(answer, field.name.c_str(), field.value.c_str());
    }
    if (it.owner->closing_all && !find_field(it.fields, MHD_HTTP_HEADER_CONNECTION)) {
        MHD_add_response_header(answer, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    it.owner->enter(descriptor_of(connection), connection_phase::answering);
    const MHD_Result ok = MHD_queue_response(connection, static_cast<unsigned int>(it.status), answer);
    MHD_destroy_response(answer);
    return ok;
}

MHD_Result add_field(void *user, MHD_ValueKind /*kind*/, const char *name, const char *value) {
    static_cast<field_list *>(user)->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result reject(MHD_Connection *connection, unsigned int status, std::string text,
                  const char *retry_after_seconds = nullptr) {
    MHD_Response *answer = MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(answer, "Content-Type", "application/json");
    MHD_add_response_header(answer, "Connection", "close");
    if (retry_after_seconds != nullptr) {
        MHD_add_response_header(answer, "Retry-After", retry_after_seconds);
    }
    const MHD_Result ok = MHD_queue_response(connection, status, answer);
    MHD_destroy_response(answer);
    return ok;
}

MHD_Result reject_full(MHD_Connection *connection) {
    return reject(connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                  R"({"error":{"code":"overloaded","message":"the requests in progress leave no room for )"
                  R"(another one; retry later","ran":"no"}})",
                  "1");
}

MHD_Result reject_body(MHD_Connection *connection) {
    return reject(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                  R"({"error":{"code":"body_too_large","message":"the body is over the limit of this )"
                  R"(server; send a smaller one","ran":"no"}})");
}

/** True for a name that another reader may take for a different one: with a blank before the colon. */
bool has_blank(const field &it) {
    return it.name.find_first_of(" \t") != std::string::npos;
}

/** True when the end of the body or the host is ambiguous, so that another reader may see other requests in it. */
bool ambiguous(const field_list &fields) {
    const auto count = [&fields](const char *name) {
        return std::ranges::count_if(fields,
                                     [name](const field &it) { return strcasecmp(it.name.c_str(), name) == 0; });
    };
    const auto lengths = count(MHD_HTTP_HEADER_CONTENT_LENGTH);
    const auto encodings = count(MHD_HTTP_HEADER_TRANSFER_ENCODING);
    return lengths + encodings > 1 || count(MHD_HTTP_HEADER_HOST) != 1 || std::ranges::any_of(fields, &has_blank);
}

/** True when a target has characters that no URL has; clients and servers disagree on how to send them on. */
bool invalid_target(std::string_view target) {
    return std::ranges::any_of(target, [](unsigned char it) { return it <= ' ' || it > '~'; });
}

/** @return What the head says of the size of the body; 0 if nothing. */
std::size_t declared_length(const field_list &fields) {
    const auto text = find_field(fields, MHD_HTTP_HEADER_CONTENT_LENGTH).value_or("");
    std::size_t out = 0;
    // libmicrohttpd has refused other texts.
    (void)std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::size_t size_of(const field_list &fields) {
    constexpr std::size_t separators = 4;
    std::size_t out = 0;
    for (const auto &it : fields) {
        out += it.name.size() + it.value.size() + separators;
    }
    return out;
}

/** @return The answer to a request whose head is not acceptable, or nothing if it is. */
std::optional<MHD_Result> reject_head(MHD_Connection *connection, const request &message, const caller_limits &limits) {
    if (ambiguous(message.fields)) {
        return reject(connection, MHD_HTTP_BAD_REQUEST,
                      R"({"error":{"code":"ambiguous_request","message":"send one Host, either one Content-Length )"
                      R"(or one Transfer-Encoding, and no blanks in names of fields","ran":"no"}})");
    }
    if (invalid_target(message.target)) {
        return reject(connection, MHD_HTTP_BAD_REQUEST,
                      R"({"error":{"code":"bad_target","message":"send a target of printable ASCII; )"
                      R"(percent-encode the rest","ran":"no"}})");
    }
    if (limits.header_bytes > 0 && size_of(message.fields) > limits.header_bytes) {
        return reject(connection, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                      R"({"error":{"code":"headers_too_large","message":"the header fields are over the limit of )"
                      R"(this server; send fewer","ran":"no"}})");
    }
    if (declared_length(message.fields) > limits.body_bytes) {
        return reject_body(connection);
    }
    return std::nullopt;
}

MHD_Result on_request(server_state &owner, MHD_Connection *connection, const char *method, exchange_state &it) {
    it.owner = &owner;
    it.connection = connection;
    it.message.method = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &add_field, &it.message.fields);
    ++owner.active;
    const auto fd = descriptor_of(connection);
    if (owner.closing(fd) || !owner.add(it)) {
        return MHD_NO;
    }
    owner.enter(fd, connection_phase::reading_body);
    const auto limits = owner.current_limits();
    it.body_limit = limits.body_bytes;
    if (auto rejected = reject_head(connection, it.message, limits)) {
        return *rejected;
    }
    const auto head = request_bytes + size_of(it.message.fields) + it.message.fields.size() * field_bytes;
    if (!owner.hold(it.head_held, head)) {
        return reject_full(connection);
    }
    it.message.body.reserve(declared_length(it.message.fields));
    if (const auto n = static_cast<std::size_t>(fd); n >= owner.bodies.size()) {
        owner.bodies.resize(n + 1);
    }
    owner.bodies[static_cast<std::size_t>(fd)] = &it;
    return MHD_YES;
}

MHD_Result on_access(void *user, MHD_Connection *connection, const char * /*url*/, const char *method,
                     const char * /*version*/, const char *data, std::size_t *size, void **slot) {
    auto &owner = *static_cast<server_state *>(user);
    auto *held = static_cast<state_ptr *>(*slot);
    auto &it = **held;
    if (it.connection == nullptr) {
        return on_request(owner, connection, method, it);
    }
    const auto fd = descriptor_of(connection);
    if (*size > 0) {
        take_body(owner, it, {data, *size});
        mark_body(owner, it, fd);
        *size = 0;
        // What is dropped is read on, so that the caller gets the answer, but not without end.
        return it.body_received / 2 > it.body_limit ? MHD_NO : MHD_YES;
    }
    if (it.body_too_large) {
        return reject_body(connection);
    }
    if (it.no_room_for_body) {
        return reject_full(connection);
    }
    if (!it.dispatched) {
        if (!owner.hold(it.head_held, it.head_held.taken() + owner.request_bytes) ||
            !owner.hold(it.body_held, it.body_held.taken() * owner.body_copies)) {
            return reject_full(connection);
        }
        it.dispatched = true;
        owner.bodies[static_cast<std::size_t>(fd)] = nullptr;
        owner.enter(fd, connection_phase::busy);
        {
            const std::scoped_lock lock{it.mutex};
            if (it.aborted) {
                return MHD_NO;
            }
            it.suspended = true;
            MHD_suspend_connection(connection);
        }
        owner.handler(exchange{*held});
        return MHD_YES;
    }
    {
        const std::scoped_lock lock{it.mutex};
        if (it.aborted && !it.answered) {
            return MHD_NO;
        }
    }
    // Status, fields and a whole body no longer change once the answer is set; libmicrohttpd's own locks are taken
    // without ours, because it holds them when it calls read_stream.
    return queue_answer(*held, connection);
}

void *on_uri(void *user, const char *uri, MHD_Connection *connection) {
    auto &owner = *static_cast<server_state *>(user);
    owner.enter(descriptor_of(connection), connection_phase::reading_head);
    auto held = std::make_unique<state_ptr>(std::make_shared<exchange_state>(owner.budget));
    (*held)->message.target = uri;
    return held.release();
}

void on_connection(void *user, MHD_Connection *connection, void ** /*slot*/, MHD_ConnectionNotificationCode what) {
    auto &owner = *static_cast<server_state *>(user);
    const auto fd = descriptor_of(connection);
    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        owner.on_open(fd);
    } else {
        owner.on_close(fd);
    }
}

void on_completed(void *user, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode /*code*/) {
    const auto fd = descriptor_of(connection);
    auto &owner = *static_cast<server_state *>(user);
    owner.on_idle(fd);
    if (const auto n = static_cast<std::size_t>(fd); n < owner.bodies.size()) {
        owner.bodies[n] = nullptr;
    }
    auto *held = static_cast<state_ptr *>(*slot);
    if (held == nullptr) {
        return;
    }
    owner.remove(**held);
    {
        const std::scoped_lock lock{(*held)->mutex};
        if ((*held)->connection != nullptr) {
            --owner.active;
        }
        (*held)->connection = nullptr;
        (*held)->gone = true;
    }
    delete held;
    *slot = nullptr;
}

/** @return Where the connections are counted that are closed in a phase for taking too long. */
std::uint64_t closed_connections::*count_of(connection_phase phase) noexcept {
    switch (phase) {
    case connection_phase::idle:
        return &closed_connections::idle;
    case connection_phase::reading_body:
        return &closed_connections::slow_body;
    case connection_phase::answering:
        return &closed_connections::slow_reader;
    default:
        return &closed_connections::slow;
    }
}

} // namespace internal

exchange::exchange(const std::shared_ptr<internal::exchange_state> &state)
    : state_{std::shared_ptr<internal::exchange_state>{state.get(), [state](internal::exchange_state *it) {
                                                           const std::scoped_lock lock{it->mutex};
                                                           const bool open =
                                                               !it->answered || (it->streaming && !it->finished);
                                                           if (open) {
                                                               it->aborted = true;
                                                               it->resume_locked();
                                                           }
                                                       }}} {}

const request &exchange::message() const noexcept {
    return state_->message;
}

request exchange::take_message() const {
    return std::move(state_->message);
}

void exchange::respond(const response &answer) const {
    const std::scoped_lock lock{state_->mutex};
    if (state_->answered) {
        return;
    }
    if (!state_->gone && !state_->owner->has_room_for_answer(answer.body.size())) {
        state_->aborted = true;
        return state_->resume_locked();
    }
    state_->answered = true;
    state_->finished = true;
    state_->status = answer.status;
    state_->fields = answer.fields;
    if (!state_->gone) {
        state_->buffer = answer.body;
        // An answer that is ready is delivered beyond the budget, at the cost of those who do not read theirs.
        state_->buffer_held.hold(answer.body.size());
        state_->owner->relieve_answers();
    }
    state_->resume_locked();
}

void exchange::start(int status, const field_list &fields) const {
    const std::scoped_lock lock{state_->mutex};
    if (state_->answered) {
        return;
    }
    state_->answered = true;
    state_->streaming = true;
    state_->status = status;
    state_->fields = fields;
    state_->resume_locked();
}

bool exchange::write(std::string_view part) const {
    const std::scoped_lock lock{state_->mutex};
    const auto size = state_->buffer.size() + part.size();
    if (state_->gone || state_->aborted || size > internal::stream_buffer_bytes || !state_->buffer_held.resize(size)) {
        return false;
    }
    state_->buffer.append(part);
    state_->owner->relieve_answers();
    state_->resume_locked();
    return true;
}

void exchange::finish() const {
    const std::scoped_lock lock{state_->mutex};
    state_->finished = true;
    state_->resume_locked();
}

void exchange::abort() const {
    const std::scoped_lock lock{state_->mutex};
    state_->aborted = true;
    state_->resume_locked();
}

bool exchange::caller_gone() const noexcept {
    const std::scoped_lock lock{state_->mutex};
    // libmicrohttpd does not watch the socket of a suspended connection; the connection stays valid meanwhile.
    if (!state_->gone && state_->suspended && state_->connection != nullptr) {
        const auto *info = MHD_get_connection_info(state_->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        pollfd socket{info == nullptr ? -1 : info->connect_fd, POLLRDHUP, 0};
        if (::poll(&socket, 1, 0) > 0) {
            state_->gone = true;
        }
    }
    return state_->gone;
}

server::server() : state_{std::make_unique<internal::server_state>()} {}

server::~server() {
    stop();
}

base::result<std::string> server::start(std::string_view address, request_handler handler, server_limits limits,
                                        const net::address_wait &wait) {
    BOOST_OUTCOME_TRY(listener, net::listener::open(address, wait));
    return start(std::move(listener), std::move(handler), limits);
}

base::result<std::string> server::start(net::listener listener, request_handler handler, server_limits limits) {
    // Connections inherit it.
    listener.set_receive_buffer(internal::receive_buffer_bytes);
    auto &it = *state_;
    it.listener = std::move(listener);
    it.handler = std::move(handler);
    it.budget = limits.budget;
    it.request_bytes = limits.request_bytes;
    it.body_copies = limits.body_copies;
    {
        const std::scoped_lock lock{it.mutex};
        it.most_connections = limits.connections;
        if (!it.limits_set) {
            it.limits.body_bytes = limits.body_bytes;
        }
    }
    MHD_set_panic_func(&internal::on_panic, nullptr);
    constexpr unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    it.daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &internal::on_access, state_.get(),
                                 MHD_OPTION_LISTEN_SOCKET, it.listener.fd(), MHD_OPTION_URI_LOG_CALLBACK,
                                 &internal::on_uri, state_.get(), MHD_OPTION_NOTIFY_COMPLETED, &internal::on_completed,
                                 state_.get(), MHD_OPTION_NOTIFY_CONNECTION, &internal::on_connection, state_.get(),
                                 MHD_OPTION_CONNECTION_MEMORY_LIMIT, library_room_bytes, MHD_OPTION_CONNECTION_LIMIT,
                                 static_cast<unsigned int>(limits.connections), MHD_OPTION_CONNECTION_TIMEOUT,
                                 limits.idle_timeout_seconds, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
    if (it.daemon == nullptr) {
        const auto address = it.listener.address();
        it.listener = {};
        return base::fail(base::error_kind::unavailable, "cannot_listen",
                          "cannot serve on " + address + "; raise the limits on descriptors and threads");
    }
    it.accepting = true;
    return it.listener.address();
}

void server::set_limits(const caller_limits &limits) {
    const std::scoped_lock lock{state_->mutex};
    state_->limits = limits;
    state_->limits_set = true;
}

void server::close_overdue() {
    auto &it = *state_;
    const std::scoped_lock lock{it.mutex};
    const phase_limits limits{it.limits.idle_timeout, it.limits.header_timeout, it.limits.body_pause,
                              it.limits.answer_pause};
    while (const auto fd = it.ages.overdue(limits)) {
        const auto phase = it.ages.phase(*fd);
        if (phase != connection_phase::answering && internal::has_unread_bytes(*fd)) {
            // The caller was in time; this process is slow.
            it.ages.enter(*fd, phase);
            continue;
        }
        ++(it.closed.*internal::count_of(phase));
        it.close_locked(*fd);
    }
    // At the limit of connections no new one is accepted, which would make room otherwise.
    if (it.most_connections > 0) {
        it.make_room_locked(0);
    }
}

bool server::has_room() const {
    const std::scoped_lock lock{state_->mutex};
    const bool started = state_->most_connections > 0;
    return !started || state_->ages.size() < state_->most_connections || !state_->ages.idle().empty() ||
           state_->evictable_locked().has_value();
}

closed_connections server::closed() const {
    const std::scoped_lock lock{state_->mutex};
    return state_->closed;
}

void server::announce_close() noexcept {
    state_->closing_all = true;
}

void server::quiesce(base::instant until) {
    auto &it = *state_;
    if (!it.accepting.exchange(false)) {
        return;
    }
    announce_close();
    if (it.listener.hold_off()) {
        std::this_thread::sleep_for(internal::handshake_time);
    }
    const auto queue_until = std::min<base::instant>(until, it.time.now() + internal::queue_time);
    // At the limit of connections, libmicrohttpd accepts only after others have been closed.
    while (it.listener.waiting() > 0 && it.time.now() < queue_until) {
        (void)it.close_unused();
        std::this_thread::sleep_for(internal::stop_poll);
    }
    (void)MHD_quiesce_daemon(it.daemon);
    if (const auto waiting = it.listener.waiting(); waiting > 0) {
        log::write("connections_cut", {{"address", it.listener.address()}, {"waiting", waiting}});
    }
    it.listener.shut();
    it.wait_for_accepted(until);
}

bool server::drain(base::instant until) {
    while (state_->close_unused() > 0) {
        if (state_->time.now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(internal::stop_poll);
    }
    return true;
}

void server::stop() {
    auto &it = *state_;
    if (it.daemon == nullptr) {
        return;
    }
    it.report_cut();
    if (it.accepting.exchange(false)) {
        // The daemon would close the socket, which belongs to the listener.
        (void)MHD_quiesce_daemon(it.daemon);
    }
    it.abort_all();
    MHD_stop_daemon(std::exchange(it.daemon, nullptr));
    it.listener = {};
}

std::size_t server::active() const noexcept {
    return state_->active;
}

std::size_t server::connections() const {
    const std::scoped_lock lock{state_->mutex};
    return state_->ages.size();
}

request_handler answer_with(std::function<response(const request &)> answer) {
    return [answer = std::move(answer)](const exchange &it) { it.respond(answer(it.message())); };
}

} // namespace dotterelstack::http
