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
#include "gateway/crash_report.hpp"
#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

/** @brief Parameters of a `crash_quarantine`. */
struct quarantine_settings {
    /** Engines that must have ended, one after the other, before a part that was never answered is held. */
    std::size_t ends_of_new_part{3};
    /** The same for a part that has been answered before; it is also in the prompts of others that were cut off. */
    std::size_t ends_of_known_part{5};
    /**
     * Ends within this time probably have one cause, such as the loss of a failure domain. Reports of other gateways
     * about one loss arrive within it.
     */
    base::duration same_cause{std::chrono::milliseconds{500}};
    /** Time after the latest end in which answers may still show that a part is sound. */
    base::duration settle{std::chrono::milliseconds{300}};
    base::duration first_hold{std::chrono::minutes{10}}; /**< Doubles each time that the part ends an engine again. */
    base::duration longest_hold{std::chrono::hours{2}};
    base::duration memory{std::chrono::minutes{10}}; /**< Age at which observations are dropped. */
};

/**
 * @brief Finds parts of prompts that crash engines, and holds back requests with them. Not thread-safe.
 *
 * Pattern: different requests share a part of their prompts, and each engine that begins to answer one of them ends.
 * The requests that ran there at that time are cut off, too, so most parts seen at one end are sound. The part wanted
 * is in the prompts at each of several ends, and no answer with it ever gets on. Parts of prompts that were cut off
 * only where such a part explains the end are left alone.
 *
 * Gateways exchange their observations, because each sees only some of the requests of an engine.
 */
class crash_quarantine {
public:
    /** @param time Clock; must outlive this object. */
    explicit crash_quarantine(const base::clock &time, quarantine_settings settings = {});

    /**
     * @brief A connection ended in the middle of an attempt.
     * @param server Incarnation of the engine.
     * @param address Where it was reached.
     */
    void on_broken(std::string_view server, std::string_view address, std::span<const prompt_part> prompt);

    /** @brief An answer is complete, or has gone on after its first event. @param started Start of the attempt. */
    void on_progress(std::string_view server, std::span<const prompt_part> prompt, base::instant started);

    /** @brief Takes the observations of another gateway that are new. */
    void on_report(std::string_view gateway, const crash_report &report);

    /** @brief Another gateway's report has been erased. */
    void on_report_removed(std::string_view gateway);

    /** @return Time for which requests with this prompt are held back; nothing if they may run. */
    [[nodiscard]] std::optional<base::duration> held(std::span<const prompt_part> prompt) const;

    /** @return True when a part that was never answered has seen several ends, so that the request is not repeated. */
    [[nodiscard]] bool suspected(std::span<const prompt_part> prompt) const;

    /** @brief Weighs new observations and drops old ones. Call it with the forwarder's periodic work. */
    void tick();

    /** @return This gateway's latest observations, if they have changed since the last call; empty once all are old. */
    [[nodiscard]] std::optional<crash_report> take_report();

    [[nodiscard]] std::size_t held_parts() const noexcept { return held_.size(); }

private:
    using part_id = std::uint64_t;

    /** End of an engine, from the attempts that were cut off there. */
    struct server_end {
        std::string server;
        base::instant learned_at{};
        std::set<part_id> parts;
        bool explained{false}; /**< By a part that is held. */
    };

    struct hold {
        base::instant until{};
        base::duration length{0};
    };

    /** A part with the unexplained ends that it was seen at. */
    struct candidate {
        part_id part{0};
        std::vector<const server_end *> ends;
        std::size_t weight{0};
        bool known{false}; /**< It has been answered before. */
    };

    struct dated_observation {
        base::instant observed_at{};
        crash_observation what;
    };

    void add_end(std::string_view server, std::span<const part_id> parts);
    void add_sound(part_id part);
    void adopt_hold(part_id part);
    void observe(observation_kind kind, std::string server, std::span<const part_id> parts, std::string address = {});
    [[nodiscard]] std::vector<candidate> candidates() const;
    [[nodiscard]] std::size_t weigh(std::span<const server_end *const> ends) const;
    [[nodiscard]] std::size_t needed(const candidate &of) const;
    void decide();
    void start_hold(const candidate &of);
    void explain();
    void expire();

    const base::clock &time_;
    const quarantine_settings settings_;
    std::deque<server_end> ends_;
    std::unordered_map<part_id, base::instant> marked_; /**< First end of each part since it was last known as sound. */
    std::unordered_map<part_id, base::instant> sound_;  /**< When each part was last known as sound. */
    std::unordered_map<part_id, bool> suspects_; /**< Parts at several ends; true if they were answered before. */
    std::unordered_map<part_id, hold> held_;
    std::unordered_map<part_id, base::duration> released_;   /**< Length of the last hold. */
    std::map<std::string, std::uint64_t, std::less<>> read_; /**< Newest observation taken from each gateway. */
    std::deque<dated_observation> own_;
    std::uint64_t next_number_{1};
    std::uint64_t published_{0}; /**< Number of the newest observation that was handed out. */
    bool unpublished_{false};
    bool changed_{false}; /**< Observations have not been weighed yet. */
    base::instant expire_due_{};
};

} // namespace dotterelstack::gateway
