#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "roles/fwd.hpp"

namespace dotterelstack::roles {

/** @brief One backend server as the planner sees it. */
struct capacity_backend {
    std::string name;
    std::string failure_domain{};
    std::uint32_t outstanding{0}; /**< Requests in flight. */
    bool healthy{true};
    bool busy{false}; /**< Another planned change is pending or has an unknown outcome: left alone. */
};

/** @brief An action for the order executor. */
struct capacity_action {
    enum class kind : std::uint8_t {
        start,        /**< Order a backend server in `failure_domain`. */
        drain,        /**< Send it no new work. */
        cancel_drain, /**< Serve again; only before `stop`. */
        stop          /**< Release it; it has no requests left. */
    };

    kind what{kind::start};
    std::string failure_domain{};
    std::string backend{};  /**< Empty for `start`. */
    std::uint64_t order{0}; /**< Number to be named in `order_settled`; 0 for drains. */
};

/** @brief How an order to start or stop ended. */
enum class order_outcome : std::uint8_t {
    done,
    rejected,
    unknown
};

/** @brief Tuning of the capacity planner. */
struct capacity_settings {
    double target_utilisation{0.7};                        /**< Backend servers needed = demand over this. */
    double degraded_utilisation{0.9};                      /**< The same after the loss of one failure domain. */
    std::uint32_t minimum_after_loss{1};                   /**< Also without any demand. */
    base::duration release_after{std::chrono::minutes{5}}; /**< Demand must have been low for this long. */
    std::uint32_t spare{1}; /**< Hysteresis: released only while this many more than needed remain. */
    std::uint32_t starts_at_once{4};
    std::uint32_t limit_per_domain{UINT32_MAX};
};

/**
 * @brief Decides when to order and to release backend servers of one service. Not thread-safe.
 *
 * A backend server is always in one state (serving, draining, stopping, unknown), so that two actions on it never
 * conflict. It is released only when the rest carries the demand even after the loss of any one failure domain.
 */
class capacity_planner {
public:
    /** @param time Clock; must outlive the planner. @param settings Tuning. */
    explicit capacity_planner(const base::clock &time, capacity_settings settings = {});

    /** @brief Declares a failure domain and the price of a backend server there. A withdrawn one gets no orders. */
    void set_domain(std::string_view name, double price, bool usable = true);

    /** @brief Adds or refreshes a backend server. */
    void update_backend(const capacity_backend &backend);

    /** @brief Removes a backend server that no longer exists. */
    void remove_backend(std::string_view name);

    /** @param demand Backend servers kept fully busy by the present work; smoothed. */
    void set_demand(double demand) noexcept { demand_ = demand; }

    /** @return The actions to take now. */
    [[nodiscard]] std::vector<capacity_action> decide();

    /**
     * @brief Reports the outcome of an order. A started backend server arrives through `update_backend`; an order with
     * an unknown outcome stays open until it is reported `done` or `rejected`. Report `done` for a start only after the
     * backend server has appeared, or it is ordered twice.
     */
    void order_settled(std::uint64_t order, order_outcome outcome);

    /** @return True while the planner drains or stops this backend server. */
    [[nodiscard]] bool busy(std::string_view backend) const;

    /** @return Backend servers that serve without the largest failure domain. */
    [[nodiscard]] std::uint32_t serving_after_loss() const;

    /** @return Backend servers needed after the loss of one failure domain. */
    [[nodiscard]] std::uint32_t needed_after_loss() const noexcept;

    /** @return Backend servers needed at the target utilisation. */
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
        std::uint32_t present{0}; /**< All that occupy a place, whatever their state. */
    };

    struct open_start {
        std::string failure_domain;
    };

    void count();
    [[nodiscard]] bool enough(bool with_starting, std::uint32_t spare) const;
    [[nodiscard]] domain *cheapest_place(std::string &name);
    void add_starts(std::vector<capacity_action> &out);
    void take_back_drains(std::vector<capacity_action> &out);
    void stop_drained(std::vector<capacity_action> &out);
    void add_drain(std::vector<capacity_action> &out);

    const base::clock &time_;
    capacity_settings settings_;
    std::map<std::string, backend, std::less<>> backends_;
    std::map<std::string, domain, std::less<>> domains_;
    std::map<std::uint64_t, open_start> starts_;
    std::uint64_t next_order_{1};
    double demand_{0};
    base::instant high_at_{};
};

} // namespace dotterelstack::roles
