#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "roles/fwd.hpp"
#include "routing/backend.hpp"

namespace dotterelstack::roles {

using routing::backend_role;

/**
 * @brief Demand on the engines of one model, in requests and tokens per second.
 *
 * A prompt is long if an entry would prefer to place it on a prefill engine. Only prompt tokens that were not cached
 * count as prefill tokens.
 */
struct role_demand {
    double long_requests{0};
    double long_prefill{0};
    double long_decode{0};
    double short_requests{0};
    double short_prefill{0};
    double short_decode{0};
};

/** @brief Facts about one engine that the planner needs. */
struct role_engine {
    std::string name;
    std::string failure_domain{};
    backend_role role{backend_role::mixed};
    std::uint32_t outstanding{0}; /**< Requests that must finish before it can change its role. */
    bool available{true};         /**< Healthy, not leaving, and no other planned change pending. */
};

/** @brief An order to drain an engine and change its role. */
struct role_change {
    std::string backend;
    backend_role from{backend_role::mixed};
    backend_role to{backend_role::mixed};
    double expected_gain{0}; /**< Additional requests that meet the targets within the horizon, minus the cost. */
};

/** @brief How an order for a role change ended. */
enum class change_outcome : std::uint8_t {
    done,
    rejected, /**< Known not to have been executed. */
    unknown   /**< The engine is not changed until `resolved` reports its state. */
};

/** @brief Tuning parameters of the role planner. Rates are tokens per second of one engine. */
struct role_settings {
    double prefill_engine_rate{11'000};
    double mixed_prefill_rate{6'400};
    double mixed_decode_rate{1'450};
    double decode_engine_rate{2'900};
    double transfer_rate{16'900}; /**< Prompt tokens whose KV cache a link transfers: 1.25 GB/s at 74 kB per token. */
    double first_token_target{0.74}; /**< Seconds. */
    double decode_utilisation{0.8};  /**< Above this, batches fill up and requests wait to join one. */
    base::duration change_time{
        std::chrono::seconds{18}}; /**< Time to drain and change an engine, during which it serves nothing. */
    base::duration horizon{std::chrono::seconds{90}}; /**< Time within which a change has to pay for itself. */
    double gain_factor{1.5};                          /**< Hysteresis: required ratio of gain to cost. */
    double fixed_cost{25};                            /**< In requests; prevents changes caused by noise. */
    base::duration smoothing{
        std::chrono::seconds{15}}; /**< Time constant of the smoothed demand; 0 for no smoothing. */
    base::duration min_role_time{std::chrono::seconds{60}}; /**< Minimum time for which an engine keeps a role. */
    /** Hysteresis: a change must also pay for itself if the demand shifts by this share between long and short prompts
        or between prefill and decode. */
    double demand_margin{0.1};
    base::duration min_reversal_time{
        std::chrono::seconds{120}};      /**< Minimum time before any engine makes the opposite change. */
    std::uint32_t changes_per_domain{1}; /**< Maximum number of simultaneous changes in a failure domain. */
};

/**
 * @brief Decides which engines of one model do prefill, decode or both. Not thread-safe.
 *
 * A change is ordered if the additional requests that meet the targets within the horizon exceed those that miss them
 * while the engine is unavailable, by a factor and a fixed amount.
 */
class role_planner {
public:
    /** @param time Clock; must outlive the planner. @param settings Tuning parameters. */
    explicit role_planner(const base::clock &time, role_settings settings = {});

    /** @brief Adds or updates an engine. The given role is ignored while a change is pending or its outcome unknown. */
    void update_engine(const role_engine &facts);

    void remove_engine(std::string_view name);

    /** @param demand Demand measured since the last call; the planner smooths it. */
    void set_demand(const role_demand &demand) noexcept;

    /** @return The changes to order now, in descending order of gain. Each is pending until `settled` is called. */
    [[nodiscard]] std::vector<role_change> decide();

    /** @brief Reports the outcome of an order. */
    void settled(std::string_view backend, change_outcome outcome);

    /** @brief Reports the role read from an engine after an unknown outcome. */
    void resolved(std::string_view backend, backend_role role);

    /** @return True while an order for this engine is pending or its outcome is unknown. */
    [[nodiscard]] bool busy(std::string_view backend) const;

    /** Number of engines by role; the index is a `backend_role`. */
    using role_counts = std::array<std::uint32_t, 3>;

    /** @return Upper estimate of the number of requests per second that miss the targets with these engines. */
    [[nodiscard]] double expected_misses(const role_counts &engines) const noexcept;

    /** @return The same for another demand. */
    [[nodiscard]] double expected_misses(const role_counts &engines, const role_demand &demand) const noexcept;

private:
    enum class change_state : std::uint8_t {
        none,
        pending,
        unknown
    };

    struct engine {
        role_engine facts;
        change_state state{change_state::none};
        backend_role target{backend_role::mixed};
        base::instant changed_at{};
        bool ever_changed{false};
    };

    /** Last change between a pair of roles, in either direction. */
    struct role_pair_change {
        bool used{false};
        backend_role to{backend_role::mixed};
        base::instant at{};
    };

    struct candidate_change {
        backend_role from{backend_role::mixed};
        backend_role to{backend_role::mixed};
        double gain{0};
    };

    [[nodiscard]] double misses_with_split(const role_counts &engines, const role_demand &demand,
                                           double moved_share) const noexcept;
    [[nodiscard]] role_counts serving_now() const noexcept;
    [[nodiscard]] role_counts serving_after() const noexcept;
    [[nodiscard]] std::vector<candidate_change> worthwhile_changes() const;
    [[nodiscard]] candidate_change evaluate(backend_role from, backend_role to,
                                            const role_demand &demand) const noexcept;
    [[nodiscard]] engine *choose_engine(const candidate_change &change);
    [[nodiscard]] bool may_change(const engine &it, const candidate_change &change) const;
    [[nodiscard]] bool reversed_recently(const candidate_change &change) const;
    [[nodiscard]] std::uint32_t changing_in(std::string_view domain) const noexcept;

    const base::clock &time_;
    role_settings settings_;
    role_demand demand_{};
    std::map<std::string, engine, std::less<>> engines_;
    std::array<role_pair_change, 3> last_changes_{}; /**< Indexed by the sum of both roles minus one. */
    base::instant demand_at_{};
    bool has_demand_{false};
};

} // namespace dotterelstack::roles
