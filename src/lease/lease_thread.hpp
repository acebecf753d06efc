#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "lease/lease_state_machine.hpp"

namespace dotterelstack::lease {

/** @brief Acquires and renews one lease on its own thread, so that slow work does not delay renewals. */
class lease_thread {
public:
    /** @brief Returns whether this process may acquire the lease. A holder keeps the lease regardless. */
    using candidate_check = std::function<bool()>;

    lease_thread(const lease_settings &values, const base::clock &time, store::object_store &store,
                 base::id_source &ids, candidate_check candidate);
    lease_thread(const lease_thread &) = delete;
    lease_thread &operator=(const lease_thread &) = delete;
    lease_thread(lease_thread &&) = delete;
    lease_thread &operator=(lease_thread &&) = delete;
    ~lease_thread();

    void start();

    /** @brief Releases the lease and joins the thread. */
    void stop();

    /** @brief Starts the release and returns at once. @param last Failed releases are retried until then. */
    void request_stop(base::instant last);

    /** @return Check of the lease, or nothing when it is not held. Callable from any thread. */
    [[nodiscard]] std::optional<authority_check> authority() const;

private:
    void run(const std::stop_token &token);
    void publish();

    const std::string name_;
    store::object_store &store_;
    base::id_source &ids_;
    const base::clock &clock_;
    const candidate_check candidate_;
    lease_state_machine lease_state_;
    bool was_held_{false};
    mutable std::mutex mutex_;
    std::optional<authority_check> authority_;
    std::atomic<base::instant> release_until_{};
    std::jthread thread_;
};

} // namespace dotterelstack::lease
