#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "entry/lease_timings.hpp"
#include "entry/peer_port.hpp"
#include "entry/share_epoch_object.hpp"
#include "lease/lease_thread.hpp"

namespace dotterelstack::entry {

/** @brief Settings of a `share_task`. */
struct share_task_options {
    std::string incarnation;
    std::string host;
    base::duration interval{std::chrono::milliseconds{500}};
    base::duration join_status_max_age{std::chrono::seconds{2}}; /**< Of the status of an entry that joins. */
    base::duration member_timeout{std::chrono::seconds{5}};      /**< A member whose last status is older is removed. */
    base::duration min_raise_interval{std::chrono::seconds{6}};  /**< Between epochs that only raise floors. */
};

/** @brief Writes `shares/epoch` with the entries that respond, while this entry holds the lease `shares`. */
class share_task {
public:
    using peer_source = std::function<std::vector<peer_entry>()>;
    using epoch_sink = std::function<void(const epoch_object &)>;
    using applied_source = std::function<std::uint64_t()>;

    /** @brief Collaborators; all must outlive the task. */
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        peer_port &calls;
        lease::lease_thread::candidate_check candidate;
        peer_source peers;
        applied_source applied; /**< Number of the epoch that this entry applies. */
        epoch_sink on_epoch;    /**< Called with each epoch that was written. */
    };

    share_task(const settings::entry_timings &timings, share_task_options options, dependencies with);
    share_task(const share_task &) = delete;
    share_task &operator=(const share_task &) = delete;
    share_task(share_task &&) = delete;
    share_task &operator=(share_task &&) = delete;
    ~share_task();

    /** @param address Own address for peers. */
    void start(std::string address);
    void stop();

    /** @return Check of the lease, once the epoch was written under it; only this holder can then write a later one. */
    [[nodiscard]] std::optional<lease::authority_check> authority() const;

private:
    struct entry_view {
        std::string incarnation;
        std::string host;
        std::uint64_t applied{0};
        base::instant answered{};
        bool leaving{false};
        bool asked{false};
    };

    void run(const std::stop_token &token);
    void ask_entries();
    void update_epoch(const lease::authority_check &authority);
    [[nodiscard]] epoch_object plan(const epoch_object &current) const;
    [[nodiscard]] bool is_epoch_needed(const epoch_object &current, const epoch_object &planned) const;
    void write(const lease::authority_check &authority, const epoch_object &value);

    const share_task_options options_;
    dependencies deps_;
    std::string address_;
    lease::lease_thread lease_;
    base::instant term_started_{};
    base::instant epoch_written_{};
    std::optional<epoch_object> current_; /**< As read or written by this holder. */
    mutable std::mutex mutex_;
    std::optional<std::uint64_t> established_; /**< Fence under which `current_` was written. */
    std::map<std::string, entry_view> views_;  /**< By address; without this entry. */
    std::jthread thread_;
};

} // namespace dotterelstack::entry
