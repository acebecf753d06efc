#include "log/event.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include "config/key_text.hpp"
#include "log/background_writer.hpp"
#include "log/internal.hpp"

namespace dotterelstack::log {

namespace internal {

bool plain(std::string_view value) {
    return !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char it) {
        return it > ' ' && it < 127 && it != '"' && it != '=' && it != '\\';
    });
}

void append_escaped(std::string &out, unsigned char value) {
    if (value == '"' || value == '\\') {
        out.push_back('\\');
        out.push_back(static_cast<char>(value));
    } else if (value < ' ' || value == 127) {
        std::array<char, 8> buf{};
        (void)std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned int>(value));
        out += buf.data();
    } else {
        out.push_back(static_cast<char>(value));
    }
}

void append_value(std::string &out, std::string_view value) {
    if (value.find(config::key_prefix) != std::string_view::npos) {
        out += "[redacted]";
        return;
    }
    const auto shown = value.substr(0, value_limit);
    if (plain(shown)) {
        out += shown;
    } else {
        out.push_back('"');
        std::for_each(shown.begin(), shown.end(),
                      [&out](char it) { append_escaped(out, static_cast<unsigned char>(it)); });
        out.push_back('"');
    }
}

google::LogSeverity to_glog(severity level) {
    switch (level) {
    case severity::info:
        return google::GLOG_INFO;
    case severity::warning:
        return google::GLOG_WARNING;
    case severity::error:
        break;
    }
    return google::GLOG_ERROR;
}

std::shared_mutex &writer_mutex() noexcept {
    static std::shared_mutex out;
    return out;
}

background_writer *&installed_writer() noexcept {
    static background_writer *out = nullptr;
    return out;
}

std::atomic<bool> &output_given_up() noexcept {
    static std::atomic<bool> out{false};
    return out;
}

/** Writes each line whole: a reader that is slow for a moment must not tear lines apart, as buffered output would. */
class output_sink final : public google::LogSink {
public:
    void send(google::LogSeverity level, const char * /*path*/, const char *file, int line,
              const google::LogMessageTime &time, const char *message, std::size_t length) override {
        const auto text = ToString(level, file, line, time, message, length) + "\n";
        std::string_view rest{text};
        while (!rest.empty()) {
            const auto n = ::write(STDOUT_FILENO, rest.data(), rest.size());
            if (n >= 0) {
                rest.remove_prefix(static_cast<std::size_t>(n));
                continue;
            }
            if ((errno != EAGAIN && errno != EINTR) || output_given_up()) {
                return;
            }
            pollfd out{STDOUT_FILENO, POLLOUT, 0};
            ::poll(&out, 1, -1);
        }
    }
};

bool &writes_to_output() noexcept {
    static bool out = false;
    return out;
}

void write_line(severity level, const std::string &text) {
    static output_sink sink;
    if (writes_to_output()) {
        google::LogMessage{__FILE__, __LINE__, to_glog(level), &sink, false}.stream() << text;
    } else {
        google::LogMessage{__FILE__, __LINE__, to_glog(level)}.stream() << text;
    }
}

} // namespace internal

std::string format(event what, field_values values) {
    const auto &about = what.description();
    std::string out = "E" + std::to_string(about.number) + " event=" + std::string{about.name};
    for (const auto &it : values) {
        out.push_back(' ');
        out += it.name();
        out.push_back('=');
        internal::append_value(out, it.value());
    }
    return out;
}

void write(event what, field_values values) {
    const auto level = what.description().level;
    auto text = format(what, values);
    const std::shared_lock lock{internal::writer_mutex()};
    if (auto *writer = internal::installed_writer(); writer != nullptr) {
        writer->offer(level, std::move(text));
    } else {
        internal::write_line(level, text);
    }
}

void write_now(event what, field_values values) {
    internal::limit_last_output();
    internal::write_line(what.description().level, format(what, values));
}

void start(const char *program, destination to) {
    FLAGS_logtostderr = true;
    internal::writes_to_output() = to == destination::standard_output;
    google::InitGoogleLogging(program);
}

} // namespace dotterelstack::log
