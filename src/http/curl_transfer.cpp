#include "http/curl_transfer.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <string>
#include <utility>

#include "http/time_limit.hpp"

namespace dotterelstack::http::internal {

namespace {

// Longest wait for events of a transfer; only the limits of the call end it earlier.
constexpr base::duration longest_poll = std::chrono::seconds{1};
// Smaller statuses announce an answer that is yet to come.
constexpr long first_final_status = 200;

/** Subtracts from what is left; false when the response is longer than permitted. */
bool within_limit(transfer &it, std::size_t &left, std::size_t n) {
    it.too_long = it.too_long || n > left;
    left -= std::min(left, n);
    return !it.too_long;
}

std::size_t on_body(char *data, std::size_t size, std::size_t count, void *user) {
    auto &it = *static_cast<transfer *>(user);
    const std::string_view part{data, size * count};
    it.received += part.size();
    if (it.sink != nullptr) {
        long status = 0;
        curl_easy_getinfo(it.handle, CURLINFO_RESPONSE_CODE, &status);
        if (status == 200) {
            if (!(*it.sink)(part)) {
                it.sink_stopped = true;
                return 0;
            }
            return part.size();
        }
    }
    if (!within_limit(it, it.body_left, part.size())) {
        return 0;
    }
    if (it.held && !it.held->resize(it.answer.body.size() + part.size())) {
        it.too_long = true;
        return 0;
    }
    it.answer.body.append(part);
    return part.size();
}

std::size_t on_header(char *data, std::size_t size, std::size_t count, void *user) {
    auto &it = *static_cast<transfer *>(user);
    std::string_view line{data, size * count};
    const auto colon = line.find(':');
    if (!within_limit(it, it.head_left, line.size())) {
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        it.answer.fields.clear();
    } else if (it.head != nullptr && (line == "\r\n" || line == "\n")) {
        long status = 0;
        curl_easy_getinfo(it.handle, CURLINFO_RESPONSE_CODE, &status);
        if (status >= first_final_status) {
            (*it.head)(static_cast<int>(status), it.answer.fields);
        }
    } else if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        const auto first = value.find_first_not_of(" \t");
        const auto last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos ? std::string_view{} : value.substr(first, last - first + 1);
        it.answer.fields.push_back({std::string{line.substr(0, colon)}, std::string{value}});
    }
    return line.size();
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
    if (ec == CURLE_WEIRD_SERVER_REPLY) {
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

void prepare(CURL *handle, transfer &it, std::string_view address, const call_options &options) {
    it.handle = handle;
    it.head_left = options.head_limit;
    it.body_left = options.body_limit;
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
    long status = 0;
    curl_easy_getinfo(it.handle, CURLINFO_RESPONSE_CODE, &status);
    it.answer.status = static_cast<int>(status);
    if (ec == CURLE_OK || it.sink_stopped) {
        return std::move(it.answer);
    }
    return boost::outcome_v2::failure(describe(ec, it, address));
}

} // namespace dotterelstack::http::internal
