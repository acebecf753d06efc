#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "gateway/member_directory.hpp"
#include "gateway/seal_memory.hpp"
#include "lease/lease_thread.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Times of a `usage_window_reporter`. */
struct usage_window_reporter_settings {
    base::duration window{std::chrono::seconds{5}};
    base::duration due{std::chrono::seconds{10}}; /**< Time from the end of a window until its report is due. */
    /** A window is sealed this long before its report is due, even if counts are missing. */
    base::duration reserve{std::chrono::milliseconds{2500}};
    base::duration step{std::chrono::milliseconds{500}};
    /** Time after the end of a window at which gateways that have not published it are asked for their counts. */
    base::duration ask_after{std::chrono::milliseconds{3500}};
    std::size_t asks_per_step{4};
    /** Time after a return of the store in which live gateways write their records again: the interval at which they
     * publish, and two repetitions of the first write, which fails. */
    base::duration rewrite_time{std::chrono::milliseconds{3500}};
    /** Nobody else acquires the lease for this long after the end of a term. */
    base::duration takeover_margin{std::chrono::milliseconds{1500}};
    /** A gateway whose record has not advanced for this long has ended, whatever a copy of the store says. */
    base::duration member_ttl{std::chrono::seconds{25}};
    /** Age, in windows, at which sealed windows and stale gateway records are erased. */
    std::uint64_t keep_windows{12};
};

/**
 * @brief Seals the usage counts of each window in the store and reports them to the platform, under a lease.
 *
 * Before a report, the counts are sealed by a write that fails if the object exists, so every repetition of the report,
 * also by another holder, carries the same counts. A window is sealed when every gateway that may have counted in it
 * has published the end of the window, or when the report would otherwise be late.
 *
 * When the store has returned from a copy, records there are old although their gateways live, and seals may be missing
 * although their windows were reported. So records count as current only once they have been written again, and the
 * holder first writes the seals again that it knows, and states in the store what a missing one means. A window whose
 * seal may have been lost is left out: a missing report costs less than one that contradicts an earlier one.
 */
class usage_window_reporter {
public:
    struct dependencies {
        const base::clock &time;
        wall_clock now;
        store::object_store &store;
        base::id_source &ids;
        usage_report_port &duties;
        member_directory &members;
        member_query ask_member{}; /**< For gateways that cannot publish to the store; may be absent. */
    };

    usage_window_reporter(usage_window_reporter_settings settings, dependencies deps);

    /**
     * @brief Seals and reports windows that have ended, and cleans up. Blocks for calls to the store and the platform.
     * @param authority Check of the lease; repeated before every call that requires the lease.
     */
    void work(const lease::authority_check &authority);

    /**
     * @brief Learns the seals that the holder makes, once in each window, and writes them again after a return of the
     * store. For processes that may become the holder. Blocks for calls to the store.
     */
    void stand_by();

private:
    [[nodiscard]] std::uint64_t window_ms() const noexcept;
    /** Cache of the gateways' records, listed once for all windows of a step. */
    struct step_members {
        bool listed{false};
        std::optional<std::vector<known_member>> records{}; /**< Empty when the list failed. */
        std::size_t asked{0};
        std::uint64_t history{0}; /**< Of the store, when the step began. */
    };

    [[nodiscard]] std::optional<start_counts> seal(std::uint64_t window, const lease::authority_check &authority,
                                                   step_members &members);
    [[nodiscard]] bool note_history();
    /** @return The oldest window that is still reported. */
    [[nodiscard]] std::uint64_t oldest_due(std::uint64_t current) const noexcept;
    [[nodiscard]] bool load_seals(std::uint64_t current);
    [[nodiscard]] bool complete_seals(std::uint64_t current);
    [[nodiscard]] bool may_still_count(const known_member &it, std::span<const known_member> all,
                                       std::uint64_t window) const;
    [[nodiscard]] std::vector<known_member> *list_members(step_members &members) const;
    [[nodiscard]] bool ask(known_member &of, std::uint64_t window, step_members &members) const;
    [[nodiscard]] std::optional<start_counts> sum(std::uint64_t window, step_members &members) const;
    void report(std::uint64_t window, const lease::authority_check &authority, step_members &members);
    void clean_up(std::uint64_t current);

    const usage_window_reporter_settings settings_;
    dependencies deps_;
    std::uint64_t fence_{0}; /**< Fencing token of the lease term that the fields below belong to. */
    bool superseded_{false}; /**< A holder with a higher fencing token has reported. */
    seal_memory seals_;
    std::set<std::uint64_t> reported_; /**< Under the present term, and those that are left out. */
    std::uint64_t cleaned_{0};
    std::uint64_t history_{0};                 /**< Of the store, as last noted. */
    std::optional<base::instant> returned_at_; /**< When this process noted that the store had returned from a copy. */
    base::instant last_held_at_{};             /**< When this process last held the lease. */
    /** Every seal of the history is known, but for windows that are stated as unsure. */
    bool seals_complete_{false};
    /** The same held for the history before, and nobody else has held the lease in it since. */
    bool knew_last_history_{false};
    std::uint64_t stood_by_in_{0}; /**< Window of the latest `stand_by`. */
};

/** @brief Runs a `usage_window_reporter` on its own thread while the lease is held. */
class usage_window_reporter_thread {
public:
    /** @param candidate Tells whether this process may become the holder. */
    usage_window_reporter_thread(usage_window_reporter &duty, const lease::lease_thread &lease, base::duration step,
                                 std::function<bool()> candidate);
    usage_window_reporter_thread(const usage_window_reporter_thread &) = delete;
    usage_window_reporter_thread &operator=(const usage_window_reporter_thread &) = delete;
    ~usage_window_reporter_thread();

    void start();
    void stop();

private:
    usage_window_reporter &duty_;
    const lease::lease_thread &lease_;
    const base::duration step_;
    const std::function<bool()> candidate_;
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
