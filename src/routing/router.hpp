#pragma once

#include <array>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "routing/backend.hpp"
#include "routing/prefix_index.hpp"

namespace dotterelstack::routing {

/** @brief The part of a completion for which a backend server is chosen. */
enum class request_phase : std::uint8_t {
    whole,   /**< Prefill and decode at one backend server; also every call of a plain service. */
    prefill, /**< Up to the first token; another backend server produces the rest. */
    decode   /**< Everything after the first token. */
};

/** @brief Properties of a request that the router uses. Views need to be valid only during the call. */
struct route_request {
    std::string_view service{};
    std::string_view model{};                       /**< Empty for a plain service. */
    std::span<const std::uint64_t> prefix_blocks{}; /**< Hashes of the full blocks, salted with the model. */
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_tokens{0};
    std::string_view failure_domain{};       /**< Of the entry, or of the cached state with which to resume. */
    std::span<const std::string> excluded{}; /**< Backend servers at which this request has already failed. */
    request_phase phase{request_phase::whole};
    bool only_failure_domain{false}; /**< Choose only in `failure_domain`; set when cached state is to be moved. */
};

/** @brief A chosen backend server. */
struct selection {
    const backend_facts *backend{nullptr}; /**< Valid until the backend server is updated or removed. */
    std::uint32_t hit_tokens{0};           /**< Prompt tokens that are probably cached there. */
    base::duration queue_wait{0};          /**< Estimated time until its prompt is processed. */
    base::duration expected_wait{0};       /**< Estimated time to the first token. */
};

/** @brief Why no backend server was chosen. */
enum class refusal_kind : std::uint8_t {
    no_backend,  /**< No healthy backend server serves this, or all of them are excluded. */
    all_leaving, /**< All backend servers for this are leaving. */
    no_memory    /**< None has enough free blocks. */
};

struct refusal {
    refusal_kind kind{refusal_kind::no_backend};
    bool permanent{
        false}; /**< With `no_memory`: the request exceeds the total memory of each; waiting does not help. */
};

using choice = boost::outcome_v2::basic_result<selection, refusal, boost::outcome_v2::policy::terminate>;

/** @param it A refusal. @return The error for the caller, which says what to do. */
[[nodiscard]] base::error to_error(refusal it);

/** @brief Tuning parameters of the router. All costs are seconds and are added to the expected wait. */
struct router_settings {
    std::size_t samples{8}; /**< Backend servers sampled at random for each choice. */
    /** Prefill rate of one engine, indexed by `backend_role`. */
    std::array<double, 4> prefill_tokens_per_second{6400, 11000, 2000, 6400};
    double outstanding_cost{0.004}; /**< Per request running or queued in the runner. */
    double failure_cost{0.5};       /**< Per recent failure. */
    base::duration failure_half_life{std::chrono::seconds{10}};
    /** A request sent less than this before a report was made is counted in addition to the report, because it may
        still have been in transit. */
    base::duration report_margin{std::chrono::milliseconds{20}};
    std::uint32_t reserved_output_tokens{1000}; /**< Upper bound of the output tokens for which memory is reserved. */
    std::size_t prefix_capacity{std::size_t{1} << 17U};
};

/** @brief Source of random 64-bit numbers. */
using random_source = std::function<std::uint64_t()>;

/**
 * @brief Chooses backend servers at one entry. Not thread-safe.
 *
 * The load of a backend server is its last report plus the requests sent from here that the report cannot include. Each
 * choice computes the cost of a few randomly sampled backend servers and of those that probably cache the prompt's
 * prefix, and takes the cheapest. Half of the samples are in the failure domain of the entry. An engine set up for the
 * other phase is chosen only when no other one is left: a response from a prefill engine misses the target for the time
 * between tokens, which is worse than a wait.
 */
class router {
public:
    /**
     * @param time Clock; must outlive the router.
     * @param random Random source.
     * @param settings Tuning parameters.
     */
    router(const base::clock &time, random_source random, router_settings settings = {});

    /** @brief Adds or replaces a backend server. A new incarnation clears its load, failures and cached prefixes. */
    void update_backend(backend_facts facts);

    /** @brief Removes a backend server; `finished` may still be called for its requests in flight. */
    void remove_backend(std::string_view name);

    /** @return False when the backend server is unknown or the report is older than the last one. */
    bool apply_report(std::string_view name, const load_report &report);

    /** @return False when the backend server is unknown or the event is a repeat. */
    bool apply_cache_event(std::string_view name, const cache_event &event);

    /** @param request The request. @return The cheapest backend server found, or why there is none. */
    [[nodiscard]] choice choose(const route_request &request);

    /**
     * @brief Records that a request was sent.
     * @param id Id of this attempt; unique among those in flight.
     * @param backend Name of the backend server.
     * @param request As passed to `choose`.
     */
    void started(std::string_view id, std::string_view backend, const route_request &request);

    /** @brief Records that the first or a later token arrived, so that the prompt has been processed. */
    void progress(std::string_view id);

    /** @brief Records the end of an attempt at a backend server. Unknown ids are ignored. */
    void finished(std::string_view id, std::string_view backend, outcome how);

    /** @return Estimated number of requests in the runner, including those of other entries; 0 if unknown. */
    [[nodiscard]] std::uint32_t outstanding(std::string_view name) const;

    /** @return Estimated number of free blocks; 0 if unknown. */
    [[nodiscard]] std::uint32_t free_blocks(std::string_view name) const;

    /** @return Number of recent failures, which decays with `failure_half_life`. */
    [[nodiscard]] double recent_failures(std::string_view name) const;

    /** @return Number of backend servers. */
    [[nodiscard]] std::size_t size() const noexcept { return names_.size(); }

    [[nodiscard]] const prefix_index &prefixes() const noexcept { return prefixes_; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };

    template<typename Type>
    using text_map = std::unordered_map<std::string, Type, text_hash, std::equal_to<>>;

    using slot_id = std::uint16_t;

    struct in_flight_request {
        base::instant started_at{};
        std::uint32_t prefill_tokens{0}; /**< 0 once the first token arrived. */
        std::uint32_t blocks{0};
        std::uint32_t generation{0};
        slot_id slot{0};
        bool in_report{false}; /**< The last report includes it. */
    };

    struct finished_request {
        base::instant started_at{};
        base::instant finished_at{};
        std::uint32_t blocks{0};
    };

    /** Load derived from the last report and the requests in flight. */
    struct load {
        std::uint32_t reported{0};   /**< Running and queued in the report, minus those that have finished since. */
        std::uint32_t queued{0};     /**< Queued in the report. */
        std::uint32_t known{0};      /**< Requests in flight from here that the report includes. */
        std::uint32_t unreported{0}; /**< Requests in flight from here that it cannot include. */
        std::uint32_t known_prefill{0};
        std::uint32_t unreported_prefill{0};
        std::uint32_t free{0}; /**< Free blocks in the report plus those released since. */
        std::uint32_t unreported_blocks{0};
    };

    struct slot {
        load current_load;
        std::uint32_t total_blocks{0};
        std::uint32_t block_tokens{1000};
        std::uint32_t domain{0};
        backend_role role{backend_role::mixed};
        bool has_report{false};
        double failures{0};
        base::instant failures_at{};
        base::instant report_made_at{};
        load_report report;
        std::uint32_t generation{0};
        backend_facts facts;
        std::vector<in_flight_request *> in_flight;
        std::vector<finished_request> finished_since_report;
    };

    /** Backend servers that are healthy and not leaving. */
    struct eligible_list {
        std::vector<slot_id> all;
        std::vector<std::vector<slot_id>> by_domain;
    };

    struct pool {
        eligible_list eligible;
        std::array<eligible_list, 3> fitting; /**< Those whose role suits the phase, indexed by `request_phase`. */
        std::uint32_t members{0};
        std::uint32_t leaving{0};
    };

    /** Estimated times in seconds: `queue` for the work ahead, `own` for the request's own prompt. */
    struct wait_estimate {
        double queue{0};
        double own{0};
    };

    struct candidate {
        slot_id slot{0};
        std::uint32_t hit_tokens{0};
        wait_estimate wait;
        double cost{0};
    };

    [[nodiscard]] slot *find_slot(std::string_view name) noexcept;
    [[nodiscard]] const slot *find_slot(std::string_view name) const noexcept;
    [[nodiscard]] pool *find_pool(std::string_view service, std::string_view model) noexcept;
    [[nodiscard]] std::uint32_t domain_id(std::string_view name);
    [[nodiscard]] std::uint32_t find_domain(std::string_view name) const noexcept;
    [[nodiscard]] slot_id allocate_slot();
    template<typename Function>
    void for_each_pool(const backend_facts &facts, Function function);
    template<typename Function>
    void for_each_list(pool &target, backend_role role, Function function);
    void add_to_pools(slot_id id);
    void remove_from_pools(slot_id id);
    void reset_load(slot &it);
    void recount(slot &it);
    void record_failure(slot &it, double weight);
    [[nodiscard]] double failures_now(const slot &it, base::instant now) const noexcept;
    [[nodiscard]] static std::uint32_t outstanding_of(const slot &it) noexcept;
    [[nodiscard]] static std::uint32_t free_of(const slot &it) noexcept;
    [[nodiscard]] std::uint32_t blocks_needed(const slot &it, const route_request &request) const noexcept;
    [[nodiscard]] wait_estimate wait_of(const slot &it, const route_request &request,
                                        std::uint32_t hit_tokens) const noexcept;
    [[nodiscard]] double cost_of(const slot &it, base::instant now) const noexcept;

    struct search;
    void consider(search &state, slot_id id, std::uint32_t hit_blocks);
    void consider_samples(search &state, const std::vector<slot_id> &from, std::size_t n);
    void consider_prefix_holders(search &state);
    void consider_eligible(search &state, const eligible_list &from);

    const base::clock &time_;
    random_source random_;
    router_settings settings_;
    prefix_index prefixes_;
    std::deque<slot> slots_; /**< A deque, because selections point to its elements. At most 65,535 elements. */
    std::vector<slot_id> unused_slots_;
    text_map<slot_id> names_;
    text_map<text_map<pool>> pools_;
    text_map<std::uint32_t> domains_;
    text_map<in_flight_request> in_flight_;
    double mean_prompt_tokens_{1000};
};

} // namespace dotterelstack::routing
