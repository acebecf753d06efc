#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/forward_site.hpp"

namespace dotterelstack::test {

/** @brief A site whose runners end by themselves, and are replaced after a while. */
class restarting_site : public forward_site {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /**
     * @param name Runners are called this and a number.
     * @param stage Of the runners; empty for the booking service.
     * @param options Further options of `standin_runner`.
     * @param restart_time From the end of a runner to the start of the next one.
     */
    restarting_site(std::string name, std::string stage, std::vector<std::string> options,
                    std::chrono::milliseconds restart_time)
        : name_{std::move(name)}, stage_{std::move(stage)}, options_{std::move(options)}, restart_time_{restart_time} {}

    void start_next_runner() { start_runner(name_ + "-" + std::to_string(next_++), stage_, options_); }

    /** @brief Starts runners for those that ended long enough ago; call it often. */
    void replace_ended_runners() {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t n = drop_ended_runners().size(); n > 0; --n) {
            ended_at_.push_back(now);
        }
        for (; replaced_ < ended_at_.size() && now >= ended_at_[replaced_] + restart_time_; ++replaced_) {
            start_next_runner();
        }
    }

    /** @return When runners ended, as noticed by `replace_ended_runners`, in order. */
    [[nodiscard]] const std::vector<time_point> &ended_at() const noexcept { return ended_at_; }

    /** @return Runs of the requests that were sent after a point in time. @param sent Time of each id. */
    [[nodiscard]] int runs_sent_after(const std::map<std::string, time_point> &sent, time_point limit) const {
        const auto all = runs();
        int out = 0;
        for (const auto &[id, at] : sent) {
            const auto found = all.find(id);
            out += at > limit && found != all.end() ? found->second : 0;
        }
        return out;
    }

private:
    const std::string name_;
    const std::string stage_;
    const std::vector<std::string> options_;
    const std::chrono::milliseconds restart_time_;
    int next_{0};
    std::size_t replaced_{0};
    std::vector<time_point> ended_at_;
};

} // namespace dotterelstack::test
