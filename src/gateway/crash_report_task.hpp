#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "gateway/crash_report.hpp"
#include "gateway/own_record.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `crash_report_task`. */
struct crash_report_settings {
    std::string incarnation; /**< Of this gateway; names its object. */
    /** Collects the attempts that one end of an engine cuts off. */
    base::duration collect{std::chrono::milliseconds{100}};
    base::duration retry_after{std::chrono::milliseconds{500}};
    /** Objects of other gateways that are unchanged for so long are erased; longer than observations are kept. */
    base::duration object_life{std::chrono::minutes{20}};
    base::duration clean_every{std::chrono::minutes{1}};
};

/**
 * @brief Writes this gateway's observations about engines that have ended, and erases those of gateways long gone.
 *
 * Engines that live on cut connections, too. Before an end is told to all gateways, the engine is asked for its state;
 * if it answers, the observation stays with this gateway.
 */
class crash_report_task {
public:
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        /** Returns true when something answers at the address. */
        std::function<bool(std::string_view address)> answers;
    };

    crash_report_task(crash_report_settings settings, dependencies deps);
    crash_report_task(const crash_report_task &) = delete;
    crash_report_task &operator=(const crash_report_task &) = delete;
    ~crash_report_task();

    void start();
    void stop();

    /** @brief Replaces the observations to be written; an empty report erases the object. Never blocks for the store.
     */
    void offer(crash_report report);

    /** @brief An object was read, this gateway's own or another's. */
    void on_object(const std::string &key, std::uint64_t version);

    /** @brief Writes what has been offered. @return False when the write must be repeated. */
    [[nodiscard]] bool publish();

    /** @brief Erases objects of other gateways that have not changed for their life. */
    void clean_up();

    /** @return Key of this gateway's object. */
    [[nodiscard]] const std::string &own_key() const noexcept { return own_.key(); }

private:
    struct observed_version {
        std::uint64_t version{0};
        base::instant changed_at{};
    };

    void run(const std::stop_token &token);
    void drop_living(crash_report &report);

    const crash_report_settings settings_;
    dependencies deps_;
    own_record own_;                       /**< Used by the thread only, like the next two. */
    std::map<std::uint64_t, bool> living_; /**< By number of the observation: whether the engine answered. */
    std::uint64_t written_{0};             /**< Number of the newest observation that was written. */
    std::mutex mutex_;
    std::condition_variable_any wake_;
    std::optional<crash_report> offered_;
    std::map<std::string, observed_version> others_;
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
