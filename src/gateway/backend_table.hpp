#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "dispatch/attempt.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

using dispatch::attempt_outcome;

/** @brief Times and weights of the belief about backend servers. */
struct health_settings {
    base::duration first_pause{std::chrono::milliseconds{300}}; /**< After a failed connection; doubled each time. */
    base::duration longest_pause{std::chrono::seconds{3}};
    base::duration failure_half_life{std::chrono::seconds{3}};
    base::duration report_max_age{std::chrono::milliseconds{1000}}; /**< Age up to which a report counts. */
};

/** @brief Belief about one backend server: facts, load and health. */
struct backend_state {
    backend_server facts;
    base::instant known_since{};  /**< First sight of the incarnation. */
    std::uint32_t own{0};         /**< Attempts of this gateway that have not ended. */
    double own_prefill_tokens{0}; /**< Of attempts that have had no event yet. */
    reported_load report;
    std::optional<base::instant> reported_at;
    std::int64_t change{0}; /**< Own attempts started less those ended since the report. */
    double failures{0};     /**< Recent failures, decaying. */
    double attempts{0};     /**< Recent attempts, decaying alike. */
    base::instant decayed_at{};
    base::duration pause{0}; /**< Length of the last pause. */
    std::optional<base::instant> paused_until;
    bool trial{false}; /**< The one attempt after a pause is under way. */
};

/**
 * @brief All backend servers known, with the load and health that answers to real requests show. Not thread-safe.
 */
class backend_table {
public:
    /** @param time Clock; must outlive this object. */
    explicit backend_table(const base::clock &time, health_settings settings = {});

    /** @brief Replaces the set; state of incarnations that stay is kept. */
    void update(const std::vector<backend_server> &all);

    /** @brief Sets the number of gateways that send requests. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @return The state of a backend server, or null. */
    [[nodiscard]] const backend_state *find(std::string_view id) const;

    /** @return Backend servers of a service that take new requests now: not draining, not paused. */
    [[nodiscard]] std::vector<const backend_state *> open(std::string_view service) const;

    /** @return True when some backend server is not draining. */
    [[nodiscard]] bool any_accepting() const noexcept;

    /** @param prefill_tokens Tokens of the prompt that are probably not cached. */
    void started(std::string_view id, double prefill_tokens);

    /** @brief The prompt has been read. */
    void prefill_done(std::string_view id, double prefill_tokens);

    void reported(std::string_view id, const reported_load &load);

    void ended(std::string_view id, attempt_outcome how);

    /** @return Requests there, from all callers, as far as known. */
    [[nodiscard]] double outstanding(const backend_state &it) const;

    /**
     * @return Tokens of prompts that the backend server has still to read: those of own requests, and for each request
     * of other gateways as many as an own one has on average. Without a recent report the others are taken to have
     * as many requests there as this gateway has at a server of that stage on average.
     */
    [[nodiscard]] double pending_prefill_tokens(const backend_state &it) const;

    /** @return Part of recent attempts that failed, from 0 to 1. */
    [[nodiscard]] double failure_rate(const backend_state &it) const;

private:
    /** A mean that follows its newest samples; the first ones weigh alike. */
    struct running_mean {
        double value{0};
        std::uint32_t samples{0};

        void add(double sample) noexcept;
    };

    /** Servers of one stage, and own requests at all of them. */
    struct stage_totals {
        std::uint32_t servers{0};
        std::uint32_t own{0};
        running_mean unread; /**< Tokens of an own request that are still to be read. */
    };

    [[nodiscard]] backend_state *find_mutable(std::string_view id);
    [[nodiscard]] bool has_report(const backend_state &it) const;
    [[nodiscard]] stage_totals &totals_of(const backend_state &it) { return stages_.at(stage_index(it)); }
    [[nodiscard]] static std::size_t stage_index(const backend_state &it) noexcept {
        return static_cast<std::size_t>(it.facts.stage);
    }
    [[nodiscard]] double decay(const backend_state &it) const;
    void learn_unread(const backend_state &it) noexcept;
    void note(backend_state &it, double failure);
    void pause(backend_state &it);

    const base::clock &time_;
    const health_settings settings_;
    std::map<std::string, backend_state, std::less<>> states_;
    std::array<stage_totals, engine_stages> stages_{}; /**< By stage. */
    std::uint32_t gateways_{1};
};

} // namespace dotterelstack::gateway
