#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_table.hpp"
#include "gateway/prefix_cache_tracker.hpp"
#include "gateway/prefix_reuse_estimator.hpp"
#include "gateway/request_facts.hpp"
#include "gateway/size_time_model.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Initial timing of engines and weights of the placement cost.
 *
 * Timing is learned while serving. Costs are fractions of the value of a request that is answered in time.
 */
struct placement_settings {
    size_time_prior prefill{30, 120};        /**< Prefill call at a prefill engine, by tokens. */
    size_time_prior direct{30, 37};          /**< First event of a decode engine that does the prefill, by tokens. */
    size_time_prior near_transfer{40, 1200}; /**< First event after a transfer within a failure domain, by tokens. */
    size_time_prior far_transfer{40, 600};   /**< The same between failure domains. */
    double late_cost{0.7};                   /**< Loss when the answer misses its latency objective. */
    double time_cost{0.1};                   /**< Of an expected time as long as the latency objective. */
    double far_cost{0.02};                   /**< Of sending a request to another failure domain. */
    /** Per rank in the order of engines for a prefix: each further copy displaces another prefix at that engine. */
    double spill_cost{0.1};
    double load_cost{0.05};                /**< Of a backend server whose slots are all taken. */
    double failure_cost{0.8};              /**< Of a backend server whose failure rate is 1. */
    double silence_cost{0.5};              /**< Of a backend server that does not answer any more. */
    double move_cost{0.003};               /**< Of moving cached state, per 1,000 tokens. */
    double disturbance_cost{0.07};         /**< Of a prefill at a decode engine, per 1,000 tokens. */
    double max_disturbance{0.6};           /**< Limit that this cost approaches for long prompts. */
    std::uint32_t min_shared_tokens{1000}; /**< Prompts that share less have no home. */
    std::uint32_t min_split_tokens{500};   /**< Shorter prompts are prefilled where their generation runs. */
    std::size_t max_candidates{32};        /**< Engines of one stage that are compared for a request. */
    base::duration prefix_ttl{std::chrono::seconds{10}};
    /** Random part of the cost, relative to the loss by a deviation of load and speed from their reports that is usual
     * at their age. Gateways with the same reports then do not all choose the same server. */
    double uncertainty_share{1};
    /** Requests that may queue at a backend server, per slot. */
    double queue_per_slot{1.0};
};

/** @brief Request data used for placement. Views need to be valid during the call only. */
struct placement_request {
    std::string_view service;
    std::string_view route{};            /**< Requests of a route are similar; used for mean sizes. */
    std::span<const prompt_part> prompt; /**< Empty for plain services. */
    std::uint32_t prompt_tokens{0};
    std::string_view failure_domain;         /**< Of this gateway. */
    std::span<const std::string> excluded{}; /**< Backend servers already tried. */
    base::duration objective{0};             /**< Time left until the latency objective; 0 if there is none. */
    bool may_split{true};                    /**< Prefill and decode may run at two engines. */
    bool is_new{true};                       /**< First placement of the request. */
};

/** @brief Kind of call to an engine; each has a timing of its own. */
enum class call_kind : std::uint8_t {
    direct,        /**< Prefill and generation; measured up to the first event. */
    prefill,       /**< Prefill only. */
    near_transfer, /**< Generation from prefilled state of the same failure domain, up to the first event. */
    far_transfer
};
inline constexpr std::size_t call_kinds = 4;

/** @brief Inputs of the estimate for one call, kept to compare it with the time taken. */
struct call_estimate {
    call_kind kind{call_kind::direct};
    double tokens{0};      /**< Prefilled or moved, including those queued before the request. */
    double other_ms{0};    /**< Part of the estimate that does not follow from `tokens`: waits and fetches. */
    bool load_known{true}; /**< The engine had reported its load; otherwise the time says little about its speed. */
};

/** @brief Chosen backend servers. Pointers are valid until the table changes. */
struct placement_plan {
    const backend_state *prefill{nullptr}; /**< Null when `run` also does the prefill. */
    const backend_state *run{nullptr};
    const backend_state *fetch_from{nullptr}; /**< Engine that probably has the shared segments cached, or null. */
    double prefill_tokens{0};                 /**< Expected tokens to prefill at the engine that does the prefill. */
    base::duration expected{0};               /**< Estimated time to the answer, or to its first event. */
    base::duration typical{0}; /**< For admission: as `expected`, but for a request of the route's mean size with a
                                  cached prefix, and less by up to a fifth for large ones. */
    call_estimate first{};     /**< Of the first call. */
    call_estimate second{};    /**< Of the call after a prefill; unused without one. */
};

/** @brief Why a request cannot be placed. */
enum class placement_rejection : std::uint8_t {
    none,
    no_backend, /**< No backend server of the service accepts requests. */
    excluded,   /**< All of them were already tried. */
    full        /**< All slots and queue places are taken. */
};

struct placement_result {
    placement_plan plan;
    placement_rejection rejection{placement_rejection::none};
    base::duration free_in{0}; /**< Estimated time until a place is free or a pause ends; 0 if unknown. */
};

/**
 * @brief Chooses backend servers for requests. Not thread-safe.
 *
 * Takes the candidate with the lowest cost: the probable loss of value by a late answer, and the costs of what the
 * placement uses. The timing of engines is learned from the calls made, for each service. A long shared prefix has a
 * home: the decode engine that ranks first by rendezvous hashing, on which all gateways agree without communication.
 * Its generations run there, so that the prefix stays cached, and an engine that prefills a prompt with that prefix
 * fetches the state from the home instead of computing it again. When the home is busy, the next engines in rank
 * follow. While engines are new, a prefix is probably not cached yet, and the estimates count it as part of the prompt.
 */
class placement {
public:
    /** @brief Uniform numbers in [0, 1), to break ties. */
    using random_source = std::function<double()>;

    placement(const base::clock &time, const backend_table &table, random_source random,
              placement_settings settings = {});

    [[nodiscard]] placement_result choose(const placement_request &request);

    /** @brief An engine has completed a prefill. */
    void on_prefill_done(std::string_view engine, std::span<const prompt_part> prompt);

    /**
     * @brief Learns from the time that a call to an engine has taken.
     * @return The time relative to the usual one at engines of the service, unless it may have been spent in a queue
     * that this gateway could not see.
     */
    std::optional<double> on_call_time(std::string_view service, std::string_view engine, const call_estimate &expected,
                                       base::duration taken);

    /** @return Mean time for which requests of a service hold a slot. */
    [[nodiscard]] base::duration slot_time(std::string_view service) const;

    /** @return Time since `slot_time` was last updated; 0 if it never was. */
    [[nodiscard]] base::duration slot_time_age(std::string_view service) const;

    /**
     * @brief Updates the mean time for which requests of a service hold a slot.
     * @return For plain services, the time relative to that mean, where the server states the time of work and that no
     * request waits there.
     */
    std::optional<double> on_slot_time(std::string_view service, std::string_view server, base::duration held);

    /** @brief Sets the number of gateways, to extrapolate prefix use at this gateway to all. */
    void set_gateways(std::uint32_t n) noexcept { warmth_.set_gateways(n); }

    /** @brief Drops outdated prefix data. Call it about once a second. */
    void expire() {
        prefixes_.expire();
        warmth_.expire();
    }

private:
    /** Learned timing of the engines of one service, by `call_kind`. */
    using engine_timing = std::vector<size_time_model>;

    /** A possible placement and its cost. */
    struct candidate {
        placement_plan plan;
        double cost{0};
        double expected_ms{0};
        double own_ms{0};   /**< Part of `expected_ms` that depends on the request's size. */
        double usual_ms{0}; /**< As `own_ms`, with the shared prefix cached at its home. */
    };

    /** The long shared prefix of a request; null home when there is none. */
    struct shared_prefix {
        const backend_state *home{nullptr};
        double tokens{0};
        double cached_probability{0}; /**< Probability that the home has it cached. */
    };

    /** Tokens that an engine has to prefill, and the cached state that it fetches. */
    struct prefill_work {
        double own{0};  /**< Tokens after the shared prefix. */
        double cold{0}; /**< Expected tokens of the shared prefix that are not cached at its home. */
        double fetched{0};
        double fetch_ms{0};
    };

    /** An engine and its position in the order for the request's prefix. */
    struct ranked_engine {
        const backend_state *engine{nullptr};
        double rank{0};
        double slowness{1};
    };

    /** Decode engines that may run the generation of a split request: the best one of each failure domain. */
    using decode_choices = std::map<std::string_view, std::pair<double, const backend_state *>>;

    using state_list = std::vector<const backend_state *>;

    [[nodiscard]] double slot_ms(std::string_view service) const;
    [[nodiscard]] double wait_ms(const backend_state &it, double slowness) const;
    /** @return Factor of the time in a server's queue: its slowness if it shares its host, else 1. */
    [[nodiscard]] static double queue_factor(const backend_state &it, double slowness);
    [[nodiscard]] double places(const backend_state &it, double slowness) const;
    [[nodiscard]] double loss(const placement_request &request, double expected_ms) const;
    [[nodiscard]] double penalty(const backend_state &it, const placement_request &request) const;
    [[nodiscard]] double disturbance(double tokens) const;
    [[nodiscard]] double unknown_requests(const backend_state &it) const;
    [[nodiscard]] double spread_cost(const backend_state &it, const placement_request &request, double expected_ms,
                                     double added_ms) const;
    [[nodiscard]] bool has_room(const backend_state &it, double slowness) const;
    [[nodiscard]] engine_timing &timing_of(std::string_view service);
    [[nodiscard]] const size_time_model &timing(std::string_view service, call_kind kind);
    [[nodiscard]] placement_result choose_plain(const placement_request &request, const state_list &from);
    [[nodiscard]] placement_result choose_engine(const placement_request &request, const state_list &from);
    [[nodiscard]] std::vector<ranked_engine> engines_of(engine_stage stage, const state_list &from, std::uint64_t key);
    [[nodiscard]] shared_prefix prefix_of(const placement_request &request,
                                          std::span<const ranked_engine> decoders) const;
    [[nodiscard]] candidate direct(const placement_request &request, const ranked_engine &at,
                                   const shared_prefix &prefix);
    [[nodiscard]] candidate split(const placement_request &request, const ranked_engine &at,
                                  const std::pair<double, const backend_state *> &decoder, const shared_prefix &prefix);
    [[nodiscard]] prefill_work prefill_work_at(const placement_request &request, const backend_state &engine,
                                               const shared_prefix &prefix);
    [[nodiscard]] base::duration typical_time(const placement_request &request, const candidate &chosen);
    [[nodiscard]] base::duration free_in(const state_list &from) const;

    const base::clock &time_;
    const backend_table &table_;
    const random_source random_;
    const placement_settings settings_;
    prefix_cache_tracker prefixes_;
    prefix_reuse_estimator warmth_;
    std::map<std::string, double, std::less<>> slot_ms_;
    std::map<std::string, base::instant, std::less<>> slot_ms_at_; /**< When `slot_ms_` was updated. */
    std::map<std::string, engine_timing, std::less<>> timings_;
    std::map<std::string, double, std::less<>> mean_usual_ms_; /**< By route: moving average of `usual_ms`. */
};

} // namespace dotterelstack::gateway
