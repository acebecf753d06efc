#pragma once

#include <functional>
#include <glog/logging.h>
#include <mutex>
#include <string>
#include <vector>

namespace dotterelstack::test {

/** @brief Collects the lines that reach glog. */
class log_capture final : public google::LogSink {
public:
    /** @param on_line Called for each line on the thread that writes it. */
    explicit log_capture(std::function<void()> on_line = [] {}) : on_line_{std::move(on_line)} {
        google::AddLogSink(this);
    }
    log_capture(const log_capture &) = delete;
    log_capture &operator=(const log_capture &) = delete;
    log_capture(log_capture &&) = delete;
    log_capture &operator=(log_capture &&) = delete;
    ~log_capture() override { google::RemoveLogSink(this); }

    void send(google::LogSeverity, const char *, const char *, int, const struct ::tm *, const char *text,
              std::size_t n) override {
        {
            const std::scoped_lock lock{mutex_};
            lines_.emplace_back(text, n);
        }
        on_line_();
    }

    [[nodiscard]] std::vector<std::string> lines() {
        const std::scoped_lock lock{mutex_};
        return lines_;
    }

private:
    std::function<void()> on_line_;
    std::mutex mutex_;
    std::vector<std::string> lines_;
};

} // namespace dotterelstack::test
