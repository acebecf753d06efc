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

/** @brief Speeds and weights by which placements are compared. */
struct placement_settings {
    double prefill_tokens_per_ms{120};     /**< Of a prefill engine. */
    double decode_tokens_per_ms{37};       /**< Of a decode engine that reads a prompt between the tokens of others. */
    double transfer_tokens_per_ms{1200};   /**< Cached state between engines of one failure domain. */
    double transfer_setup_ms{40};          /**< Two calls in place of one, and the start of the generation. */
    double far_ms{4};                      /**< Price of leaving the failure domain. */
    double spill_ms{25};                   /**< Price of each step down the order of engines for a prefix. */
    double failure_ms{400};                /**< Price of a backend server that fails every attempt. */
    double disturbance{0.5};               /**< Price of reading a prompt at a decode engine, as a part of its time. */
    std::uint32_t min_shared_tokens{1000}; /**< Prompts that share less go wherever there is room. */
    base::duration prefix_ttl{std::chrono::seconds{10}};
    /** Requests that may wait at a backend server, for each of its slots. */
    double queue_per_slot{1.0};
};

/** @brief A request as far as its placement is concerned. Views must outlive the call only. */
struct placement_request {
    std::string_view service;
    std::span<const prompt_part> prompt; /**< Empty for plain services. */
    std::uint32_t prompt_tokens{0};
    std::string_view failure_domain;         /**< Of this gateway. */
    std::span<const std::string> excluded{}; /**< Backend servers that were tried. */
    bool may_split{true};                    /**< Prefill and decode may happen at two engines. */
    bool is_new{true};                       /**< It has not been tried to place before. */
};

/** @brief Where a request goes. Pointers are valid until the table changes. */
struct placement_plan {
    const backend_state *prefill{nullptr}; /**< Null when `run` reads the prompt, too. */
    const backend_state *run{nullptr};
    const backend_state *fetch_from{nullptr}; /**< Engine that probably keeps the shared parts; null for none. */
    double prefill_tokens{0};   /**< Tokens to be read at the engine that reads the prompt, as far as expected. */
    base::duration expected{0}; /**< Until the answer or its first event. */
    base::duration typical{0};  /**< As `expected`, for a request of mean size with a cached prefix. */
    bool has_home{false};       /**< The prompt shares enough to have a home. */
};

/** @brief Why there is no place. */
enum class placement_rejection : std::uint8_t {
    none,
    no_backend, /**< No backend server of the service takes requests. */
    excluded,   /**< All of them were tried. */
    full        /**< All slots are taken and as many wait as may. */
};

struct placement_result {
    placement_plan plan;
    placement_rejection rejection{placement_rejection::none};
    base::duration free_in{0}; /**< With `full`: estimated time until a place is free. */
};

/**
 * @brief Chooses backend servers. Not thread-safe.
 *
 * The cheapest place by estimated time to the answer wins. A long shared prefix has a home, the decode engine that all
 * gateways agree on without talking to each other: its generations run there, so that the prefix stays cached, and
 * whichever engine reads a prompt with that prefix fetches it from the home instead of reading it again. The next
 * engines of that order follow when the home is busy. While engines are new, a prefix has probably not been read yet,
 * and the estimates count it as part of the prompt.
 */
class placement {
public:
    /** @brief Uniform numbers in [0, 1), to spread equal choices. */
    using random_source = std::function<double()>;

    placement(const base::clock &time, const backend_table &table, random_source random,
              placement_settings settings = {});

    [[nodiscard]] placement_result choose(const placement_request &request);

    /** @brief An engine has read a prompt. */
    void on_prefill_done(std::string_view engine, std::span<const prompt_part> prompt);

    /**
     * @brief Learns from the time to a first event how far the estimates for long prompts are off.
     * @param split The prompt was read by a prefill engine.
     * @param expected As estimated when the request was placed.
     */
    void on_first_event(bool split, base::duration expected, base::duration taken);

    /** @brief Learns how long requests of a service hold a slot. */
    void on_slot_time(std::string_view service, base::duration held);

    /** @brief Sets the number of gateways, by which the use of prefixes here is scaled to that of all. */
    void set_gateways(std::uint32_t n) noexcept { warmth_.set_gateways(n); }

    /** @brief Periodic work; call it about once a second. */
    void expire() {
        prefixes_.expire();
        warmth_.expire();
    }

private:
    /** A choice of engines and its cost. */
    struct candidate {
        placement_plan plan;
        double cost_ms{0};
        double expected_ms{0};
        double own_ms{0};   /**< Part of `expected_ms` that grows with the request. */
        double usual_ms{0}; /**< As `own_ms`, if the shared prefix is cached at its home. */
    };

    /** The long shared prefix of a request; no home when there is none. */
    struct shared_prefix {
        const backend_state *home{nullptr};
        double tokens{0};
        double warm{0}; /**< Probability that the home has read it. */
    };

    /** Tokens of a prompt that an engine has to read, and those that it fetches. */
    struct reading {
        double own{0};  /**< Behind the shared prefix. */
        double cold{0}; /**< Of the shared prefix, weighted by the probability that its home has not read it. */
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
    [[nodiscard]] candidate split(const placement_request &request, const backend_state &reader, double rank,
                                  const candidate &decoder, const shared_prefix &prefix) const;
    [[nodiscard]] reading reading_at(const placement_request &request, const backend_state &engine,
                                     const shared_prefix &prefix) const;
    [[nodiscard]] base::duration free_in(const state_list &from) const;

    const backend_table &table_;
    const random_source random_;
    const placement_settings settings_;
    prefix_cache_tracker prefixes_;
    prefix_reuse_estimator warmth_;
    std::map<std::string, double, std::less<>> slot_ms_;
    // Times taken relative to estimates, for long prompts.
    double direct_factor_{1};
    std::optional<double> mean_usual_ms_; /**< Of long prompts: `candidate::usual_ms`. */
    double split_factor_{1};
};

} // namespace dotterelstack::gateway
