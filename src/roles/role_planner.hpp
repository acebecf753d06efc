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
 * @brief Demand on the engines of one model, as requests and tokens per second.
 *
 * A prompt is long when an entry would rather place it on a prefill engine. Prefill tokens are those that were not
 * cached.
 */
struct role_demand {
    double long_requests{0};
    double long_prefill{0};
    double long_decode{0};
    double short_requests{0};
    double short_prefill{0};
    double short_decode{0};
};

/** @brief One engine as the planner sees it. */
struct role_engine {
    std::string name;
    std::string failure_domain{};
    backend_role role{backend_role::mixed};
    std::uint32_t outstanding{0}; /**< Requests to finish before it can change. */
    bool available{true};         /**< Healthy, not leaving, and no other planned change pending. */
};

/** @brief An order to drain an engine and change its role. */
struct role_change {
    std::string backend;
    backend_role from{backend_role::mixed};
    backend_role to{backend_role::mixed};
    double expected_gain{0}; /**< Requests kept within the targets over the horizon, net of the cost. */
};

/** @brief How an order for a role change ended. */
enum class change_outcome : std::uint8_t {
    done,
    rejected, /**< Certainly not executed. */
    unknown   /**< The engine is left alone until `resolved` reports its state. */
};

/** @brief Tuning of the role planner. Rates are tokens per second of one engine. */
struct role_settings {
    double prefill_engine_rate{11'000};
    double mixed_prefill_rate{6'400};
    double mixed_decode_rate{1'450};
    double decode_engine_rate{2'900};
    double transfer_rate{16'900};    /**< Prompt tokens whose state a link moves: 1.25 GB/s at 74 kB. */
    double first_token_target{0.74}; /**< Seconds. */
    double decode_utilisation{0.8};  /**< Beyond it, batches fill up and requests wait for a place. */
    base::duration change_time{std::chrono::seconds{18}}; /**< Drain and change; the engine serves nothing. */
    base::duration horizon{std::chrono::seconds{90}};     /**< Over which a change has to pay. */
    double gain_factor{1.5};                              /**< Hysteresis: gain over cost. */
    double fixed_cost{25};                                /**< Requests; keeps noise from causing changes. */
    base::duration smoothing{std::chrono::seconds{15}};   /**< Time constant of the mean of the demand; 0 for none. */
    base::duration dwell{std::chrono::seconds{60}};       /**< An engine keeps a role at least this long. */
    /** Hysteresis: a change must also pay when long and short prompts, or prefill and decode, shift by this share. */
    double demand_margin{0.1};
    base::duration reverse_hold{std::chrono::seconds{120}}; /**< No opposite change of any engine for this long. */
    std::uint32_t changes_per_domain{1};                    /**< At once. */
};

/**
 * @brief Decides which engines of one model do prefill, decode or both. Not thread-safe.
 *
 * A change is ordered when the requests it keeps within the targets over the horizon exceed those lost while the engine
 * is away, by a factor and a fixed amount.
 */
class role_planner {
public:
    /** @param time Clock; must outlive the planner. @param settings Tuning. */
    explicit role_planner(const base::clock &time, role_settings settings = {});

    /** @brief Adds or refreshes an engine. The role of one with a pending change is not taken over. */
    void update_engine(const role_engine &facts);

    void remove_engine(std::string_view name);

    /** @param demand Demand measured since the last call; smoothed here. */
    void set_demand(const role_demand &demand) noexcept;

    /** @return The changes to order now, the most useful first. Each is pending until `settled`. */
    [[nodiscard]] std::vector<role_change> decide();

    /** @brief Reports the outcome of an order. */
    void settled(std::string_view backend, change_outcome outcome);

    /** @brief Reports the state read from an engine after an unknown outcome. */
    void resolved(std::string_view backend, backend_role role);

    /** @return True while an order for this engine is pending or its outcome is unknown. */
    [[nodiscard]] bool busy(std::string_view backend) const;

    /** Engines by role: index with `backend_role`. */
    using role_counts = std::array<std::uint32_t, 3>;

    /** @return Upper estimate of the requests per second that miss the targets with these engines. */
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

    /** Last change between two roles, in either direction. */
    struct passage {
        bool used{false};
        backend_role to{backend_role::mixed};
        base::instant at{};
    };

    struct step {
        backend_role from{backend_role::mixed};
        backend_role to{backend_role::mixed};
        double gain{0};
    };

    [[nodiscard]] double misses_with_split(const role_counts &engines, const role_demand &demand,
                                           double moved_share) const noexcept;
    [[nodiscard]] role_counts serving_now() const noexcept;
    [[nodiscard]] role_counts serving_after() const noexcept;
    [[nodiscard]] std::vector<step> worthwhile_steps() const;
    [[nodiscard]] step weigh(backend_role from, backend_role to, const role_demand &demand) const noexcept;
    [[nodiscard]] engine *pick(const step &change);
    [[nodiscard]] bool may_change(const engine &it, const step &change) const;
    [[nodiscard]] bool reversed_recently(const step &change) const;
    [[nodiscard]] std::uint32_t changing_in(std::string_view domain) const noexcept;

    const base::clock &time_;
    role_settings settings_;
    role_demand demand_{};
    std::map<std::string, engine, std::less<>> engines_;
    std::array<passage, 3> passages_{}; /**< Indexed by the sum of both roles less one. */
    base::instant demand_at_{};
    bool has_demand_{false};
};

} // namespace dotterelstack::roles
