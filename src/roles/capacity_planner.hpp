#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "roles/fwd.hpp"

namespace dotterelstack::roles {

/** @brief Facts about one backend server that the planner needs. */
struct capacity_backend {
    std::string name;
    std::string failure_domain{};
    std::uint32_t outstanding{0}; /**< Requests in flight. */
    bool healthy{true};
    bool busy{
        false}; /**< Another planned change is pending or has an unknown outcome; the planner does nothing with it. */
};

/** @brief An action for the caller to carry out. */
struct capacity_action {
    enum class kind : std::uint8_t {
        start,        /**< Order a backend server in `failure_domain`. */
        drain,        /**< Send it no new requests. */
        cancel_drain, /**< Send it requests again; only before `stop`. */
        stop          /**< Release it; it has no requests left. */
    };

    kind what{kind::start};
    std::string failure_domain{};
    std::string backend{};  /**< Empty for `start`. */
    std::uint64_t order{0}; /**< Number to pass to `order_settled`; 0 for drains. */
};

/** @brief How an order to start or stop ended. */
enum class order_outcome : std::uint8_t {
    done,
    rejected,
    unknown
};

/** @brief Tuning parameters of the capacity planner. */
struct capacity_settings {
    double target_utilisation{0.7};      /**< Backend servers needed = demand divided by this. */
    double degraded_utilisation{0.9};    /**< Utilisation allowed after the loss of one failure domain. */
    std::uint32_t minimum_after_loss{1}; /**< Backend servers kept for that case even without demand. */
    base::duration release_after{
        std::chrono::minutes{5}}; /**< Demand must have been low for this long before a release. */
    std::uint32_t spare{
        1}; /**< Hysteresis: backend servers beyond the needed number that must remain after a release. */
    std::uint32_t starts_at_once{4};
    std::uint32_t limit_per_domain{UINT32_MAX};
};

/**
 * @brief Decides when to order and release backend servers of one service. Not thread-safe.
 *
 * A backend server is always in exactly one state (serving, draining, stopping, unknown), so that two actions on it
 * never conflict. It is released only if the others can serve the demand even after the loss of any one failure domain.
 */
class capacity_planner {
public:
    /** @param time Clock; must outlive the planner. @param settings Tuning parameters. */
    explicit capacity_planner(const base::clock &time, capacity_settings settings = {});

    /** @brief Adds or updates a failure domain and the price of a backend server there; no orders if not usable. */
    void set_domain(std::string_view name, double price, bool usable = true);

    /** @brief Adds or updates a backend server. */
    void update_backend(const capacity_backend &backend);

    /** @brief Removes a backend server that no longer exists. */
    void remove_backend(std::string_view name);

    /** @param demand Number of backend servers that the current work would keep fully busy; already smoothed. */
    void set_demand(double demand) noexcept { demand_ = demand; }

    /** @return The actions to take now. */
    [[nodiscard]] std::vector<capacity_action> decide();

    /**
     * @brief Reports the outcome of an order. A started backend server is added with `update_backend`; an order with an
     * unknown outcome stays pending until it is reported `done` or `rejected`. Report `done` for a start only after the
     * backend server has been added, or the planner orders another one in its place.
     */
    void order_settled(std::uint64_t order, order_outcome outcome);

    /** @return True while the planner drains or stops this backend server. */
    [[nodiscard]] bool busy(std::string_view backend) const;

    /** @return Number of backend servers that serve outside the largest failure domain. */
    [[nodiscard]] std::uint32_t serving_after_loss() const;

    /** @return Number of backend servers needed after the loss of one failure domain. */
    [[nodiscard]] std::uint32_t needed_after_loss() const noexcept;

    /** @return Number of backend servers needed at the target utilisation. */
    [[nodiscard]] std::uint32_t needed() const noexcept;

private:
    enum class state : std::uint8_t {
        serving,
        draining,
        stopping,
        unknown
    };

    struct backend {
        capacity_backend facts;
        state now{state::serving};
        std::uint64_t order{0};
    };

    struct domain {
        double price{1};
        bool usable{true};
        std::uint32_t serving{0};
        std::uint32_t starting{0};
        std::uint32_t present{0}; /**< Backend servers in any state; limited by `limit_per_domain`. */
    };

    struct pending_start {
        std::string failure_domain;
    };

    void count();
    [[nodiscard]] bool has_capacity(bool with_starting, std::uint32_t spare) const;
    [[nodiscard]] domain *choose_domain(std::string &name);
    void add_starts(std::vector<capacity_action> &out);
    void cancel_drains(std::vector<capacity_action> &out);
    void stop_drained(std::vector<capacity_action> &out);
    void add_drain(std::vector<capacity_action> &out);

    const base::clock &time_;
    capacity_settings settings_;
    std::map<std::string, backend, std::less<>> backends_;
    std::map<std::string, domain, std::less<>> domains_;
    std::map<std::uint64_t, pending_start> starts_;
    std::uint64_t next_order_{1};
    double demand_{0};
    base::instant last_high_demand_{};
};

} // namespace dotterelstack::roles
