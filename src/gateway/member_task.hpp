#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "gateway/gateway_group.hpp"
#include "gateway/member_directory.hpp"
#include "gateway/own_record.hpp"
#include "gateway/server_speeds.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `member_task`. */
struct member_settings {
    std::string name;
    std::string incarnation;
    std::string peer_address;
    base::duration publish_every{std::chrono::milliseconds{2500}};
    base::duration retry_after{std::chrono::milliseconds{500}};
    base::duration first_list_wait{std::chrono::seconds{2}}; /**< Doubled up to `list_every`. */
    base::duration list_every{std::chrono::seconds{10}};
    /** A gateway whose record does not advance for this long is considered gone. */
    base::duration record_ttl{std::chrono::seconds{25}};
};

/** @brief Publishes this gateway's record periodically and reads those of the others. */
class member_task {
public:
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        const windowed_start_counter &starts;
        member_directory &members;
        std::function<void(gateway_group)> on_group; /**< Takes the live gateways. */
        /** Returns own measurements; may be empty. Called from any thread. */
        std::function<speed::speed_record()> speeds{};
        std::function<void(server_speeds)> on_speeds{}; /**< Takes what the live gateways say; may be empty. */
    };

    member_task(member_settings settings, dependencies deps);
    member_task(const member_task &) = delete;
    member_task &operator=(const member_task &) = delete;
    ~member_task();

    void start();

    /** @brief Stops the thread and publishes once more. @param deadline A failed write is repeated until then. */
    void stop(base::instant deadline = {});

    /** @return Addresses of the other live gateways. Callable from any thread. */
    [[nodiscard]] std::vector<std::string> peers() const;

    /** @return True when this gateway is one of the few lease candidates; only these read the leases. */
    [[nodiscard]] bool may_hold_leases() const noexcept { return may_hold_leases_; }

    /** @return This gateway's record as of now. Callable from any thread. */
    [[nodiscard]] member_record record() const;

    /** @brief Writes this gateway's record. @return False when the write must be repeated. */
    [[nodiscard]] bool publish();

    /** @brief Reads the records of all gateways. */
    void refresh_members();

private:
    void run(const std::stop_token &token);

    const member_settings settings_;
    dependencies deps_;
    own_record own_;
    mutable std::mutex mutex_;
    std::vector<std::string> peers_;
    std::atomic<bool> may_hold_leases_{true};
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
