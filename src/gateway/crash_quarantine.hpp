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
#include <vector>

#include "base/clock.hpp"
#include "gateway/answered_requests.hpp"
#include "gateway/crash_report.hpp"
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
    base::duration memory{std::chrono::minutes{10}}; /**< Age at which observations are dropped. */
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
    void adopt_hold(const request_trait &trait);
    void observe(observation_kind kind, std::string server, std::span<const request_trait> traits,
                 std::string address = {});
    [[nodiscard]] bool known(const request_trait &trait) const;
    [[nodiscard]] std::vector<candidate> candidates() const;
    [[nodiscard]] std::size_t weigh(const candidate &of) const;
    [[nodiscard]] std::size_t needed(const candidate &of) const;
    void decide();
    void start_hold(const candidate &of);
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
