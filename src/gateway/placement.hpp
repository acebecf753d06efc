#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_table.hpp"
#include "gateway/prefix_cache_tracker.hpp"
#include "gateway/prefix_reuse_estimator.hpp"
#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

/** @brief Rates and weights of the placement cost model. */
struct placement_settings {
    double prefill_tokens_per_ms{120};   /**< Of a prefill engine. */
    double decode_tokens_per_ms{37};     /**< Of a decode engine that prefills while it generates tokens for others. */
    double transfer_tokens_per_ms{1200}; /**< Transfer of cached state between engines of one failure domain. */
    double transfer_setup_ms{40};        /**< Overhead of two calls instead of one, and of starting the generation. */
    double far_ms{4};                    /**< Cost of leaving the failure domain. */
    double spill_ms{25};                 /**< Cost per rank in the order of engines for a prefix. */
    double failure_ms{400};              /**< Cost of a backend server whose failure rate is 1. */
    double disturbance{0.5};             /**< Cost of a prefill at a decode engine, as a fraction of its time. */
    std::uint32_t min_shared_tokens{1000}; /**< Prompts that share less have no home. */
    base::duration prefix_ttl{std::chrono::seconds{10}};
    /** Requests that may queue at a backend server, per slot. */
    double queue_per_slot{1.0};
};

/** @brief Request data used for placement. Views need to be valid during the call only. */
struct placement_request {
    std::string_view service;
    std::span<const prompt_part> prompt; /**< Empty for plain services. */
    std::uint32_t prompt_tokens{0};
    std::string_view failure_domain;         /**< Of this gateway. */
    std::span<const std::string> excluded{}; /**< Backend servers already tried. */
    bool may_split{true};                    /**< Prefill and decode may run at two engines. */
    bool is_new{true};                       /**< First placement of the request. */
};

/** @brief Chosen backend servers. Pointers are valid until the table changes. */
struct placement_plan {
    const backend_state *prefill{nullptr}; /**< Null when `run` also does the prefill. */
    const backend_state *run{nullptr};
    const backend_state *fetch_from{nullptr}; /**< Engine that probably has the shared segments cached, or null. */
    double prefill_tokens{0};                 /**< Expected tokens to prefill at the engine that does the prefill. */
    base::duration expected{0};               /**< Estimated time to the answer, or to its first event. */
    base::duration typical{0}; /**< As `expected`, but for a request of mean size with a cached prefix. */
    bool has_home{false};      /**< The shared prefix is long enough to have a home. */
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
    base::duration free_in{0}; /**< With `full`: estimated time until a queue place is free. */
};

/**
 * @brief Chooses backend servers for requests. Not thread-safe.
 *
 * Takes the candidate with the lowest cost, which is mainly the estimated time to the answer. A long shared prefix has
 * a home: the decode engine that ranks first by rendezvous hashing, on which all gateways agree without communication.
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
     * @brief Updates the correction factor of the estimates for long prompts from a measured time to the first event.
     * @param split The prefill ran at a prefill engine.
     * @param expected Estimate when the request was placed.
     */
    void on_first_event(bool split, base::duration expected, base::duration taken);

    /** @brief Updates the mean time for which requests of a service hold a slot. */
    void on_slot_time(std::string_view service, base::duration held);

    /** @brief Sets the number of gateways, to extrapolate prefix use at this gateway to all. */
    void set_gateways(std::uint32_t n) noexcept { warmth_.set_gateways(n); }

    /** @brief Drops outdated prefix data. Call it about once a second. */
    void expire() {
        prefixes_.expire();
        warmth_.expire();
    }

private:
    /** A possible placement and its cost. */
    struct candidate {
        placement_plan plan;
        double cost_ms{0};
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

    /** Tokens that an engine has to prefill, and the time to fetch cached state. */
    struct prefill_work {
        double own{0};  /**< Tokens after the shared prefix. */
        double cold{0}; /**< Expected tokens of the shared prefix that are not cached at its home. */
        double fetch_ms{0};
    };

    using state_list = std::vector<const backend_state *>;

    [[nodiscard]] double slot_ms(std::string_view service) const;
    [[nodiscard]] double wait_ms(const backend_state &it) const;
    [[nodiscard]] double penalty_ms(const backend_state &it, const placement_request &request) const;
    [[nodiscard]] bool has_room(const backend_state &it) const;
    [[nodiscard]] placement_result choose_plain(const placement_request &request, const state_list &from);
    [[nodiscard]] placement_result choose_engine(const placement_request &request, const state_list &from);
    [[nodiscard]] shared_prefix prefix_of(const placement_request &request, const state_list &order) const;
    [[nodiscard]] candidate direct(const placement_request &request, const backend_state &engine,
                                   const shared_prefix &prefix, double rank) const;
    [[nodiscard]] candidate split(const placement_request &request, const backend_state &prefill_engine, double rank,
                                  const candidate &decode_choice, const shared_prefix &prefix) const;
    [[nodiscard]] prefill_work prefill_work_at(const placement_request &request, const backend_state &engine,
                                               const shared_prefix &prefix) const;
    [[nodiscard]] base::duration free_in(const state_list &from) const;

    const backend_table &table_;
    const random_source random_;
    const placement_settings settings_;
    prefix_cache_tracker prefixes_;
    prefix_reuse_estimator warmth_;
    std::map<std::string, double, std::less<>> slot_ms_;
    // Correction factors for long prompts: measured over estimated time.
    double direct_factor_{1};
    std::optional<double> mean_usual_ms_; /**< Moving average of `candidate::usual_ms` of long prompts. */
    double split_factor_{1};
};

} // namespace dotterelstack::gateway
