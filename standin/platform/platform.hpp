#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "http/server.hpp"
#include "standin/common/timer.hpp"

namespace dotterelstack::standin {

/** @brief Settings of the stand-in platform. */
struct platform_options {
    std::chrono::milliseconds lag{0};    /**< Age of the host list that callers see. */
    std::uint64_t weights_per_second{0}; /**< Weight reads per second over all callers; zero for no limit. */
    std::size_t weights_bytes{1024};     /**< Size of the weights of each model. */
};

/** @brief Host list, ordering of backend servers, usage reports and weights. Orders and reports are only recorded. */
class platform {
public:
    explicit platform(platform_options options) : options_{options} {}

    /** @brief Handles one request; does not block. */
    void handle(const http::exchange &call);

private:
    using json = nlohmann::json;
    using time_point = std::chrono::steady_clock::time_point;
    using host_table = std::map<std::pair<std::string, std::string>, json>; /**< By host and role. */

    void carry_out(const http::exchange &call);
    [[nodiscard]] http::response set_faults(const http::request &message);
    [[nodiscard]] http::response set_host(const http::request &message);
    [[nodiscard]] http::response hosts();
    [[nodiscard]] http::response record_order(const http::request &message);
    [[nodiscard]] http::response record_usage(const http::request &message);
    [[nodiscard]] http::response weights(std::string_view model);
    void change_hosts(const host_table &next);

    platform_options options_;
    std::mutex mutex_;
    std::deque<std::pair<time_point, host_table>> hosts_{{time_point::min(), {}}};
    json orders_ = json::array();
    json reports_ = json::array();
    std::deque<time_point> weight_reads_;
    std::uint64_t lose_answers_{0};
    bool outage_{false};
    std::int64_t delay_ms_{0};
    timer timer_;
};

} // namespace dotterelstack::standin
