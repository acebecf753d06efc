#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "gateway/answered_requests.hpp"
#include "gateway/crash_report.hpp"
#include "gateway/gateway_group.hpp"
#include "gateway/request_traits.hpp"

namespace dotterelstack::gateway {

/** @brief Parameters of a `crash_quarantine`. */
struct quarantine_settings {
    /** Servers that must have ended, one after the other, before a trait that was never answered is held. */
    std::size_t ends_of_new_trait{3};
    /** The same for a trait that has been answered before; requests with it are also cut off with those of others. */
    std::size_t ends_of_known_trait{5};
    /**
     * Ends within this time probably have one cause, such as the loss of a failure domain. Reports of other gateways
     * about one loss arrive within it.
     */
    base::duration same_cause{std::chrono::milliseconds{500}};
    /** Time after the latest end in which answers may still show that a trait is sound. */
    base::duration settle{std::chrono::milliseconds{300}};
    base::duration first_hold{std::chrono::minutes{10}}; /**< Doubles each time that the trait ends a server again. */
    base::duration longest_hold{std::chrono::hours{2}};
    base::duration memory{std::chrono::minutes{10}};    /**< Age at which observations are dropped. */
    base::duration trial_time{std::chrono::seconds{5}}; /**< Between two trials of traits that are held together. */
};

/** @brief Why a request is held back, and for how long. */
struct crash_hold {
    trait_kind kind{trait_kind::prompt_part};
    base::duration left{0};
};

/**
 * @brief Finds what in requests crashes servers, and holds back requests with it. Not thread-safe.
 *
 * Pattern: requests share a part of their prompts, or are one request that comes again, and each server that begins to
 * work on one of them ends. The requests that ran there at that time are cut off, too, so most traits seen at one end
 * are sound. The trait wanted is at each of several ends, and no answer with it ever gets on. Traits of requests that
 * were cut off only where such a trait explains the end are left alone.
 *
 * Gateways exchange their observations, because each sees only some of the requests of a server.
 *
 * Traits that were at the same ends are held together, although one of them may explain all ends. A request that has
 * only some of them tells them apart, so one gateway of the site lets such a request run from time to time, until its
 * answer clears them or its end confirms them.
 */
class crash_quarantine {
public:
    /** @param time Clock; must outlive this object. */
    explicit crash_quarantine(const base::clock &time, quarantine_settings settings = {});

    /**
     * @brief A connection ended in the middle of an attempt.
     * @param server Incarnation of the server.
     * @param address Where it was reached.
     */
    void on_broken(std::string_view server, std::string_view address, std::span<const request_trait> traits);

    /** @brief An answer is complete, or has gone on after its first event. @param started Start of the attempt. */
    void on_progress(std::string_view server, std::span<const request_trait> traits, base::instant started);

    /** @brief Takes the observations of another gateway that are new. */
    void on_report(std::string_view gateway, const crash_report &report);

    /** @brief Another gateway's report has been erased. */
    void on_report_removed(std::string_view gateway);

    /** @return The longest hold on a request with these traits; nothing if it may run. */
    [[nodiscard]] std::optional<crash_hold> held(std::span<const request_trait> traits) const;

    /** @brief Sets the gateways, of which one makes the trials of each group of traits. */
    void set_gateways(gateway_group all) { gateways_ = std::move(all); }

    /**
     * @brief Lets a request with held traits run as a trial if its answer would tell traits apart. Its end is reported
     * by `on_progress`, or by `on_trial_broken` besides `on_broken`.
     * @return True if the request may run.
     */
    [[nodiscard]] bool begin_trial(std::span<const request_trait> traits);

    /** @brief A server ended under a trial: there are no more of the traits of this request that are held. */
    void on_trial_broken(std::span<const request_trait> traits);

    /** @return True when a trait that was never answered has seen several ends, so that the request is not repeated. */
    [[nodiscard]] bool suspected(std::span<const request_trait> traits) const;

    /** @brief Weighs new observations and drops old ones. Call it with the forwarder's periodic work. */
    void tick();

    /** @return This gateway's latest observations, if they have changed since the last call; empty once all are old. */
    [[nodiscard]] std::optional<crash_report> take_report();

    /** @return Number of traits of a kind that are held. */
    [[nodiscard]] std::size_t held_count(trait_kind kind) const;

private:
    /** End of a server, from the attempts that were cut off there. */
    struct server_end {
        std::string server;
        base::instant learned_at{};
        std::set<request_trait> traits;
        std::optional<request_trait> explanation; /**< One that is held; a part of prompts rather than a request. */
    };

    struct hold {
        base::instant until{};
        base::duration length{0};
        std::uint64_t group{0}; /**< The same for traits that are held together; 0 for one that is held alone. */
        bool confirmed{false};  /**< A server ended under a trial of it. */
    };

    /** A trait with the ends that nothing else explains. */
    struct candidate {
        request_trait trait;
        std::vector<const server_end *> ends;
        std::size_t weight{0};
        bool known{false}; /**< It has been answered before. */
    };

    struct dated_observation {
        base::instant observed_at{};
        crash_observation what;
    };

    void add_end(std::string_view server, std::span<const request_trait> traits);
    void add_sound(const request_trait &trait);
    void adopt_hold(const request_trait &trait, std::uint64_t group);
    void observe(observation_kind kind, std::string server, std::span<const request_trait> traits,
                 std::string address = {});
    [[nodiscard]] bool known(const request_trait &trait) const;
    [[nodiscard]] std::vector<candidate> candidates() const;
    [[nodiscard]] std::size_t weigh(const candidate &of) const;
    [[nodiscard]] std::size_t needed(const candidate &of) const;
    [[nodiscard]] bool makes_trials(std::uint64_t group) const;
    void decide();
    void start_hold(const candidate &of, std::uint64_t group);
    void explain();
    void expire();

    const base::clock &time_;
    const quarantine_settings settings_;
    std::deque<server_end> ends_;
    /** First end of each trait since it was last known as sound. */
    std::unordered_map<request_trait, base::instant> marked_;
    std::unordered_map<request_trait, base::instant> sound_; /**< When each trait was last known as sound. */
    answered_requests answered_;
    std::unordered_map<request_trait, bool> suspects_; /**< Traits at several ends; true if answered before. */
    std::unordered_map<request_trait, hold> held_;
    std::unordered_map<std::uint64_t, base::instant> next_trials_; /**< Of each group that has had one. */
    gateway_group gateways_;
    std::unordered_map<request_trait, base::duration> released_; /**< Length of the last hold. */
    std::map<std::string, std::uint64_t, std::less<>> read_;     /**< Newest observation taken from each gateway. */
    std::deque<dated_observation> own_;
    std::uint64_t next_number_{1};
    std::uint64_t published_{0}; /**< Number of the newest observation that was handed out. */
    bool unpublished_{false};
    bool changed_{false}; /**< Observations have not been weighed yet. */
    base::instant expire_due_{};
};

} // namespace dotterelstack::gateway
