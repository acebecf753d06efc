#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "entry/lease_timings.hpp"
#include "http/client.hpp"
#include "lease/lease_thread.hpp"
#include "usage/usage_reporter.hpp"
#include "usage/usage_sealer.hpp"

namespace dotterelstack::entry {

/** @return Settings of the sealer, derived from the entry's timing settings. */
[[nodiscard]] usage::sealer_settings sealer_settings_of(const settings::entry_timings &timings);

/** @brief Seals and reports usage windows while this entry holds the lease `billing`. Two threads: lease and worker. */
class billing_task {
public:
    /** @brief Called with the number of sealed windows whenever it has grown. */
    using sealed_sink = std::function<void(std::uint64_t count)>;

    /** @brief Collaborators; all must outlive the task. */
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        http::client &client;
        lease::lease_thread::candidate_check candidate;
        sealed_sink on_sealed;
    };

    /**
     * @param incarnation Incarnation of this entry; identifies the holder of the lease and the sender of the reports.
     * @param platform Address of the platform, which accepts usage reports.
     */
    billing_task(const settings::entry_timings &timings, const std::string &incarnation, std::string platform,
                 dependencies with);
    billing_task(const billing_task &) = delete;
    billing_task &operator=(const billing_task &) = delete;
    billing_task(billing_task &&) = delete;
    billing_task &operator=(billing_task &&) = delete;
    ~billing_task();

    void start();

    /** @brief Stops the worker thread, then releases the lease. */
    void stop();

private:
    /** State under one fence; each new acquisition of the lease starts from the state in the store. */
    struct term {
        term(const base::clock &clock, const usage::sealer_settings &values, std::uint64_t lease_fence)
            : fence{lease_fence}, sealer{clock, values} {}

        std::uint64_t fence;
        usage::usage_sealer sealer;
        std::unique_ptr<usage::usage_reporter> reporter{}; /**< Created once the sealer has read `usage/open`. */
        std::uint64_t sealed{0};
        std::uint64_t rejections{0};
    };

    void run(const std::stop_token &token);
    [[nodiscard]] base::instant work(term &it, const lease::authority_check &authority);
    [[nodiscard]] base::instant report(term &it, const lease::authority_check &authority);

    const usage::sealer_settings settings_;
    const usage::reporter_settings reporter_settings_;
    const std::string platform_;
    dependencies deps_;
    lease::lease_thread lease_;
    std::jthread thread_;
};

} // namespace dotterelstack::entry
