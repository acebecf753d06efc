#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "gateway/member_record.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Times of a `member_task`. */
struct member_settings {
    std::string name;
    std::string incarnation;
    std::string peers;
    base::duration publish_every{std::chrono::milliseconds{2500}};
    base::duration retry_after{std::chrono::milliseconds{500}};
    base::duration first_list_wait{std::chrono::seconds{2}}; /**< Doubled up to `list_every`. */
    base::duration list_every{std::chrono::seconds{10}};
    base::duration life{std::chrono::seconds{25}}; /**< A gateway whose record did not change for so long has gone. */
};

/** @brief Publishes this gateway's record and follows those of the others. */
class member_task {
public:
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        const windowed_start_counter &starts;
        std::function<void(std::uint32_t)> on_count; /**< Number of live gateways, this one included. */
    };

    member_task(member_settings settings, dependencies deps);
    member_task(const member_task &) = delete;
    member_task &operator=(const member_task &) = delete;
    ~member_task();

    void start();

    /** @brief Ends the thread and publishes a last time. @param last Until then a write that failed is repeated. */
    void stop(base::instant last = {});

    /** @return Addresses of the other live gateways. Callable from any thread. */
    [[nodiscard]] std::vector<std::string> peers() const;

    /** @return True for the few gateways that stand for leases, so that the others need not read them. */
    [[nodiscard]] bool may_hold_leases() const noexcept { return may_hold_leases_; }

    /** @brief Writes this gateway's record. @return False when it must be tried again. */
    [[nodiscard]] bool publish();

    /** @brief Reads the records of all gateways. */
    void refresh_members();

private:
    struct observed_version {
        std::uint64_t version{0};
        base::instant changed_at{};
    };

    void run(const std::stop_token &token);
    [[nodiscard]] std::string own_key() const;

    const member_settings settings_;
    dependencies deps_;
    std::uint64_t version_{store::absent};
    std::map<std::string, observed_version> seen_;
    mutable std::mutex mutex_;
    std::vector<std::string> peers_;
    std::atomic<bool> may_hold_leases_{true};
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
