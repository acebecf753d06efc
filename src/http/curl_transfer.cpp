#include "http/curl_transfer.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <string>
#include <unistd.h>
#include <utility>

#include "http/time_limit.hpp"

namespace dotterelstack::http::internal {

namespace {

// Longest wait for events of a transfer; only the limits of the call end it earlier.
constexpr base::duration longest_poll = std::chrono::seconds{1};

/** @return False if the transfer must end. */
bool take_part(transfer &it, std::string_view part) {
    if (it.sink != nullptr && it.answer.status == 200) {
        it.sink_stopped = !(*it.sink)(part);
        return !it.sink_stopped;
    }
    const auto size = it.answer.body.size() + part.size();
    it.too_long = size > it.body_limit || (it.held && !it.held->resize(size));
    if (!it.too_long) {
        it.answer.body.append(part);
    }
    return !it.too_long;
}

void take_head(transfer &it) {
    it.answer.status = it.reader->status();
    it.answer.fields = it.reader->fields();
    if (it.head != nullptr) {
        (*it.head)(it.answer.status, it.answer.fields);
    }
}

/** @return False if the transfer must end. */
bool read_answer(transfer &it, std::string_view in) {
    while (true) {
        switch (it.reader->next(in)) {
        case read_step::more:
        case read_step::done:
            return true;
        case read_step::head:
            take_head(it);
            break;
        case read_step::part:
            if (!take_part(it, it.reader->part())) {
                return false;
            }
            break;
        case read_step::malformed:
            it.malformed = true;
            return false;
        case read_step::too_long:
            it.too_long = true;
            return false;
        }
    }
}

std::size_t on_body(char *data, std::size_t size, std::size_t count, void *user) {
    auto &it = *static_cast<transfer *>(user);
    const std::string_view part{data, size * count};
    it.received += part.size();
    return read_answer(it, part) ? part.size() : 0;
}

std::size_t on_header(char *data, std::size_t size, std::size_t count, void *user) {
    const std::string_view line{data, size * count};
    return read_answer(*static_cast<transfer *>(user), line) ? line.size() : 0;
}

int on_socket_opened(void *user, curl_socket_t socket, curlsocktype /*purpose*/) {
    auto &it = *static_cast<transfer *>(user);
    it.sockets->assign(socket, it);
    return CURL_SOCKOPT_OK;
}

int on_socket_closing(void *table, curl_socket_t socket) {
    return static_cast<socket_table *>(table)->close(socket);
}

std::size_t on_read(char *buf, std::size_t size, std::size_t count, void *user) {
    auto &it = *static_cast<transfer *>(user);
    const std::string_view rest = std::string_view{it.message.body}.substr(it.sent);
    std::size_t n = std::min(rest.size(), size * count);
    if (it.check != nullptr && !rest.empty()) {
        if (rest.size() > 1) {
            n = std::min(n, rest.size() - 1);
        } else if (!it.checked) {
            it.checked = true;
            if (!(*it.check)()) {
                it.check_failed = true;
                return CURL_READFUNC_ABORT;
            }
        }
    }
    std::memcpy(buf, rest.data(), n);
    it.sent += n;
    return n;
}

bool never_connected(CURLcode ec) {
    return ec == CURLE_COULDNT_CONNECT || ec == CURLE_COULDNT_RESOLVE_HOST || ec == CURLE_URL_MALFORMAT;
}

/** @return Milliseconds, rounded up: 0 means no limit to libcurl, and its limits must not end before the caller's. */
long to_milliseconds(base::duration value) {
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

void set_timeouts(CURL *handle, const call_options &options) {
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, to_milliseconds(options.connect_timeout));
    // libcurl's own limit could not be extended.
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, options.min_receive_rate > 0 ? 0L : to_milliseconds(options.timeout));
    if (options.idle_timeout.count() > 0 && options.min_receive_rate == 0) {
        const auto seconds = static_cast<long>(std::chrono::ceil<std::chrono::seconds>(options.idle_timeout).count());
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME, seconds);
    }
}

list_ptr make_headers(const request &message) {
    curl_slist *list = nullptr;
    for (const auto &it : message.fields) {
        // libcurl takes "name:" as a request to leave a field out; an empty value is written "name;".
        list =
            curl_slist_append(list, it.value.empty() ? (it.name + ";").c_str() : (it.name + ": " + it.value).c_str());
    }
    // Fields that libcurl adds by itself unless they are named.
    for (const auto *name : {"Accept", "Content-Type"}) {
        if (!find_field(message.fields, name)) {
            list = curl_slist_append(list, (std::string{name} + ":").c_str());
        }
    }
    // Without these libcurl waits a second for "100 Continue" before larger bodies.
    list = curl_slist_append(list, "Expect:");
    return list_ptr{list, &curl_slist_free_all};
}

void set_body(CURL *handle, transfer &it) {
    const auto &message = it.message;
    if (it.check != nullptr) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, &on_read);
        curl_easy_setopt(handle, CURLOPT_READDATA, &it);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(message.body.size()));
    } else if (!message.body.empty() || message.method == "POST" || message.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(message.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, message.body.data());
    }
    if (message.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, message.method.c_str());
}

/** @return How much of the answer has come in which time; tells a silent server from an answer that takes too long. */
std::string progress_of(const transfer &it) {
    constexpr curl_off_t microseconds_per_millisecond = 1000;
    curl_off_t bytes = 0;
    curl_off_t time = 0;
    curl_easy_getinfo(it.handle, CURLINFO_SIZE_DOWNLOAD_T, &bytes);
    curl_easy_getinfo(it.handle, CURLINFO_TOTAL_TIME_T, &time);
    return " after " + std::to_string(time / microseconds_per_millisecond) + " ms and " + std::to_string(bytes) +
           " bytes of the answer";
}

base::error describe(CURLcode ec, const transfer &it, std::string_view address) {
    long connects = 0;
    long request_bytes = 0;
    curl_off_t sent_bytes = 0;
    curl_easy_getinfo(it.handle, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(it.handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(it.handle, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
    const bool reached = !never_connected(ec);
    const bool kept = reached && connects == 0 && request_bytes > 0;
    const std::string where =
        std::string{address} + ": " + curl_easy_strerror(ec) + (kept ? " on a kept connection" : "") + progress_of(it);
    if (it.check_failed) {
        return {base::error_kind::refused, "authority_lost", "the order was abandoned before its last byte; " + where};
    }
    if (it.too_long) {
        return {base::error_kind::unknown_outcome, "answer_too_long",
                where + "; the response has no end within the limit, check the server"};
    }
    if (!reached) {
        return {base::error_kind::unavailable, "not_reached", where + "; check that the server is running"};
    }
    if (ec == CURLE_OPERATION_TIMEDOUT && request_bytes == 0 && sent_bytes == 0) {
        return {base::error_kind::unavailable, "connect_timeout", where + "; check that the server is reachable"};
    }
    // libcurl takes a status line that it can't read for HTTP/0.9.
    if (ec == CURLE_WEIRD_SERVER_REPLY || ec == CURLE_UNSUPPORTED_PROTOCOL || it.malformed) {
        return {base::error_kind::unknown_outcome, "answer_unreadable", where + "; the answer is not HTTP"};
    }
    const auto *code = ec == CURLE_OPERATION_TIMEDOUT ? "no_answer" : "connection_lost";
    return {base::error_kind::unknown_outcome, code, where + "; read the server's state before repeating"};
}

} // namespace

void ensure_curl() {
    static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)global;
}

easy_ptr new_handle() {
    return {curl_easy_init(), &curl_easy_cleanup};
}

void socket_table::assign(curl_socket_t socket, transfer &user) {
    users_[socket] = &user;
    user.socket = socket;
}

void socket_table::assign_all(transfer *user) {
    for (auto &[socket, it] : users_) {
        it = user;
    }
}

void socket_table::release(transfer &user) {
    if (const auto it = users_.find(user.socket); it != users_.end() && it->second == &user) {
        it->second = nullptr;
    }
}

int socket_table::close(curl_socket_t socket) {
    if (const auto it = users_.extract(socket); it && it.mapped() != nullptr) {
        auto &user = *it.mapped();
        curl_off_t written = 0;
        curl_easy_getinfo(user.handle, CURLINFO_SIZE_UPLOAD_T, &written);
        user.end = end_of_connection(socket, static_cast<std::size_t>(written) >= user.message.body.size());
    }
    return ::close(socket);
}

void prepare(CURL *handle, transfer &it, std::string_view address, const call_options &options, socket_table &sockets) {
    it.handle = handle;
    it.reader.emplace(it.message.method, options.head_limit);
    it.sockets = &sockets;
    it.body_limit = options.body_limit;
    it.held = options.budget == nullptr ? nullptr : std::make_unique<base::byte_holding>(options.budget);
    const std::string url = "http://" + std::string{address} + it.message.target;
    it.headers = make_headers(it.message);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    // libcurl repeats a request by itself when a reused connection closes before the first byte of the response, which
    // would run a call twice. A new connection is never retried.
    const bool idempotent = it.message.method == "GET" || it.message.method == "HEAD" || options.repeatable;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, idempotent && !options.fresh_connection ? 0L : 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, options.fresh_connection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, it.headers.get());
    set_timeouts(handle, options);
    set_body(handle, it);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &on_socket_opened);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &it);
    // The function outlives the transfer if its connection is kept, and so must its data.
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &on_socket_closing);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, &sockets);
}

CURLcode perform(CURLM *connections, transfer &it, const call_options &options, base::duration longest) {
    using steady = std::chrono::steady_clock;
    const auto begun = steady::now();
    auto heard_at = begun;
    std::size_t heard = 0;
    curl_multi_add_handle(connections, it.handle);
    CURLcode out = CURLE_OK;
    for (int running = 1; true;) {
        if (curl_multi_perform(connections, &running) != CURLM_OK) {
            out = CURLE_FAILED_INIT;
            break;
        }
        int left_messages = 0;
        if (const auto *ended = curl_multi_info_read(connections, &left_messages); ended != nullptr) {
            out = ended->data.result;
            break;
        }
        const auto now = steady::now();
        if (it.received > std::exchange(heard, it.received)) {
            heard_at = now;
        }
        const auto limit = std::min(longest, time_limit(options.timeout, it.received, options.min_receive_rate));
        base::duration left = limit - (now - begun);
        if (heard > 0 && options.min_receive_rate > 0 && options.idle_timeout > base::duration{0}) {
            left = std::min<base::duration>(left, options.idle_timeout - (now - heard_at));
        }
        if (left <= base::duration{0}) {
            out = CURLE_OPERATION_TIMEDOUT;
            break;
        }
        curl_multi_poll(connections, nullptr, 0, static_cast<int>(to_milliseconds(std::min(left, longest_poll))),
                        nullptr);
    }
    // Closes the connection of a transfer that has not ended.
    curl_multi_remove_handle(connections, it.handle);
    return out;
}

base::result<response> conclude(CURLcode ec, transfer &it, std::string_view address) {
    if (it.sink_stopped) {
        return std::move(it.answer);
    }
    // libcurl takes the end of the input for that of an answer, whatever the socket says, and reports only the errors
    // of its own reads and writes. An end that was not seen here is one without such an error.
    const auto end = ec == CURLE_OK ? it.end.value_or(connection_end::orderly) : connection_end::broken;
    if (!it.check_failed && it.reader->is_whole_at(end)) {
        return std::move(it.answer);
    }
    return boost::outcome_v2::failure(describe(ec == CURLE_OK ? CURLE_PARTIAL_FILE : ec, it, address));
}

} // namespace dotterelstack::http::internal
