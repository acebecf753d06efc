#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "dispatch/attempt.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/request_facts.hpp"
#include "gateway/server_notices.hpp"
#include "gateway/server_pacing.hpp"
#include "gateway/server_speeds.hpp"
#include "speed/home_weight.hpp"
#include "speed/server_speed.hpp"

namespace dotterelstack::gateway {

using dispatch::attempt_outcome;

/** @brief Parameters of the health tracking of backend servers. */
struct health_settings {
    base::duration first_pause{
        std::chrono::milliseconds{300}}; /**< Back-off after a failed connection; doubles with each failure. */
    base::duration longest_pause{std::chrono::seconds{3}};
    base::duration failure_half_life{std::chrono::seconds{3}};
    base::duration silence{std::chrono::milliseconds{800}};         /**< Added to a multiple of the expected time. */
    base::duration report_max_age{std::chrono::milliseconds{1000}}; /**< Older load reports are ignored. */
    speed::speed_settings speed{};
};

/** @brief State of one backend server: its discovery entry, load and health. */
struct backend_state {
    backend_server facts;
    std::uint64_t id_hash{0};      /**< For `rendezvous_rank`. */
    base::instant known_since{};   /**< When this gateway first saw the incarnation. */
    std::uint32_t own_requests{0}; /**< Attempts of this gateway that are in progress. */
    double own_prefill_tokens{0};  /**< Prompt tokens of own attempts that have not produced an event. */
    reported_load report;
    std::optional<base::instant> reported_at;
    std::int64_t change_since_report{0}; /**< Own attempts started minus those ended since the report. */
    double failures{0};                  /**< Failed attempts, with exponential decay. */
    double attempts{0};                  /**< All attempts, with the same decay. */
    base::instant decayed_at{};
    std::optional<speed::server_speed> speed; /**< Always there for servers of a `backend_table`. */
    speed::home_weight home;
    base::duration pause{0}; /**< Length of the latest back-off. */
    std::optional<base::instant> paused_until;
    base::duration allowance{0};              /**< Longest usual silence with requests in progress. */
    std::optional<base::instant> heard_due{}; /**< Silent if nothing is heard until then. */
    bool probing{false}; /**< The single attempt that is allowed after a back-off is in progress. */
};

/**
 * @brief All known backend servers, with load and health derived from the answers to requests. Not thread-safe.
 */
class backend_table {
public:
    /** @param time Clock; must outlive this object. */
    explicit backend_table(const base::clock &time, health_settings settings = {});

    /** @brief Replaces the set of servers; the state of incarnations that remain is kept. */
    void update(const std::vector<backend_server> &all);

    /** @brief Sets the number of gateways that send requests. */
    void set_gateways(std::uint32_t n) noexcept { gateways_ = n == 0 ? 1 : n; }

    /** @brief Sets the gateways that share the limits of servers. */
    void set_limit_sharers(const gateway_group &group) {
        notices_.set_gateways(group);
        pacing_.set_gateways(group);
    }

    /** @return The state of a backend server, or null. */
    [[nodiscard]] const backend_state *find(std::string_view id) const;

    /** @return True unless the server is draining, by its entry or by its own answers. */
    [[nodiscard]] bool accepts(const backend_state &it) const;

    /** @return Backend servers of a service that accept new requests now: not in back-off, pausing, at their limit or
     * at their pace. */
    [[nodiscard]] std::vector<const backend_state *> available(std::string_view service) const;

    /** @return True when at least one backend server is not draining. */
    [[nodiscard]] bool any_accepting() const noexcept;

    /**
     * @brief An attempt has started.
     * @param prefill_tokens Prompt tokens that are probably not cached.
     * @param expected Estimated time to its answer or first event.
     */
    void started(std::string_view id, double prefill_tokens, base::duration expected = {});

    /** @brief The server has answered or sent a complete event. Bytes alone do not count. */
    void heard(std::string_view id);

    /** @return True when the server has requests in progress, but nothing was heard for far longer than expected. */
    [[nodiscard]] bool silent(const backend_state &it) const;

    /**
     * @brief Takes what a server says about itself in an answer. One that is leaving gets no new requests from then on,
     * whatever discovery says, until a later incarnation appears; of several pauses the longest holds.
     * @param asked When the request was sent.
     */
    void noticed(const server_incarnation &from, const server_notice &notice, base::instant asked) {
        notices_.record(from, notice, asked);
    }

    /** @return True while a pause that the server has asked for lasts. */
    [[nodiscard]] bool pausing(const backend_state &it) const;

    /** @brief Counts a request that will be sent to the server against its limit. */
    [[nodiscard]] limit_use use_limit(const backend_state &it) { return notices_.use_limit(it.facts); }

    /**
     * @param excluded Ids of servers that are not considered.
     * @return Time until the first server of the service that is pausing or at its limit takes a request, if any is.
     */
    [[nodiscard]] std::optional<base::duration> opens_in(std::string_view service,
                                                         std::span<const std::string> excluded) const;

    /** @brief The prefill of an attempt has ended. */
    void prefill_done(std::string_view id, double prefill_tokens);

    void reported(std::string_view id, const reported_load &load);

    /** @param sent When the attempt was sent; now if absent. */
    void ended(std::string_view id, attempt_outcome how, std::optional<base::instant> sent = std::nullopt);

    /** @return Estimated number of requests at the backend server, from all gateways. */
    [[nodiscard]] double outstanding(const backend_state &it) const;

    /**
     * @return Estimated prompt tokens that the backend server has yet to prefill: those of own requests, and for each
     * request of other gateways the mean of own ones. Without a recent report, each other gateway is assumed to have a
     * fixed fraction of the requests that this gateway has on average at a server of the same stage.
     */
    [[nodiscard]] double pending_prefill_tokens(const backend_state &it) const;

    /** @return Prefill tokens that a request of another gateway has on average at a server of the same stage. */
    [[nodiscard]] double usual_pending_prefill(const backend_state &it) const {
        return stages_.at(stage_index(it)).pending_prefill.value;
    }

    /** @return Time since the latest load report, if that is recent. */
    [[nodiscard]] std::optional<base::duration> report_age(const backend_state &it) const {
        return has_report(it) ? std::optional{time_.now() - *it.reported_at} : std::nullopt;
    }

    /** @return Mean number of requests of other gateways at a server of the same stage, inferred from own ones. */
    [[nodiscard]] double usual_others(const backend_state &it) const;

    /** @return True when a request would probably begin at the server at once: a slot is free, and no own prompt waits.
     */
    [[nodiscard]] bool has_free_slot(const backend_state &it) const;

    /** @brief This process was paused: what the servers have sent meanwhile is about to be read. */
    void on_own_pause(base::duration length);

    /**
     * @return True when estimates for the server rest on facts: a recent report, or own requests in progress, which
     * show that a missing report means a queue.
     */
    [[nodiscard]] bool load_known(const backend_state &it) const { return has_report(it) || it.own_requests > 0; }

    /**
     * @return True when the server, which reports how long work takes there, has just reported that it works on no more
     * than the request that it answers, so that the request has hardly waited.
     */
    [[nodiscard]] bool was_alone(const backend_state &it) const;

    /** @return True when such a server has just reported that no request waits for a slot. */
    [[nodiscard]] bool was_unqueued(const backend_state &it) const;

    /** @return Fraction of recent attempts that failed, from 0 to 1. */
    [[nodiscard]] double failure_rate(const backend_state &it) const;

    /** @return Number of servers that are being paced after a start or recovery. */
    [[nodiscard]] std::size_t paced() const noexcept { return pacing_.paced(); }

    /**
     * @brief A call has taken this many times as long as usual at servers of the service.
     * @param sent When it was sent; now if absent.
     */
    void timed(std::string_view id, double ratio, std::optional<base::instant> sent = std::nullopt);

    /** @return Expected time of calls at the backend server now, relative to others of its kind; below 1 if fast. */
    [[nodiscard]] double slowness(const backend_state &it) const { return it.speed ? it.speed->time_factor() : 1; }

    /** @brief Compares the speeds of the servers of each service. Call it about once a second. */
    void settle_speeds();

    /** @return Servers that are clearly faster or slower than usual now, with their time; `most` of them at most. */
    [[nodiscard]] std::vector<std::pair<std::string_view, double>> unusual_speeds(std::size_t most) const;

    /** @return Own measurements, for the other gateways. */
    [[nodiscard]] speed::speed_record measured_speeds() const;

    /** @brief Takes what gateways have measured; sets the weights of servers as homes of prefixes. */
    void on_server_speeds(const server_speeds &told);

private:
    /** Running mean: arithmetic over the first samples, then exponential. */
    struct running_mean {
        double value{0};
        std::uint32_t samples{0};

        void add(double sample) noexcept;
    };

    /** Number of servers of one stage, and of own requests at them. */
    struct stage_totals {
        std::uint32_t servers{0};
        std::uint32_t own_requests{0};
        running_mean pending_prefill; /**< Pending prefill tokens per own request. */
        running_mean in_progress;     /**< Own requests in progress when one starts. */
    };

    [[nodiscard]] base::instant open_at(const backend_state &it) const;
    [[nodiscard]] backend_state *find_mutable(std::string_view id);
    [[nodiscard]] bool reports_with_answer(const backend_state &it) const;
    [[nodiscard]] bool has_report(const backend_state &it) const;
    [[nodiscard]] stage_totals &totals_of(const backend_state &it) { return stages_.at(stage_index(it)); }
    [[nodiscard]] static std::size_t stage_index(const backend_state &it) noexcept {
        return static_cast<std::size_t>(it.facts.stage);
    }
    [[nodiscard]] double decay(const backend_state &it) const;
    void sample_pending_prefill(const backend_state &it) noexcept;
    void record_outcome(backend_state &it, double failure);
    void pause(backend_state &it);

    const base::clock &time_;
    const health_settings settings_;
    std::map<std::string, backend_state, std::less<>> states_;
    std::map<std::string, std::vector<const backend_state *>, std::less<>> services_; /**< Servers by service. */
    std::array<stage_totals, engine_stages> stages_{};                                /**< By stage. */
    server_notices notices_;
    server_pacing pacing_;
    std::uint32_t gateways_{1};
};

} // namespace dotterelstack::gateway
