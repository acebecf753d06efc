#pragma once

#include <optional>
#include <string>

#include "base/clock.hpp"
#include "http/client.hpp"
#include "lease/fence_guard.hpp"
#include "order/order.hpp"

namespace dotterelstack::order {

/** @brief Settings of an `order_executor`. */
struct executor_settings {
    std::string backend;
    base::duration margin{std::chrono::milliseconds{500}}; /**< Maximum age of the lease read at the last byte. */
    base::duration engine_timeout{std::chrono::milliseconds{400}}; /**< Deadline of one call to the engine. */
    base::duration late_copy_wait{std::chrono::seconds{5}};        /**< How long an unanswered order may arrive late. */
};

/** @brief The part of an engine's `GET /v1/state` that is used to decide on orders. */
struct engine_state {
    std::string order_id;   /**< Id of the last accepted order. */
    std::uint64_t fence{0}; /**< Highest fence accepted; 0 for engines that ignore fences. */
    bool changing{false};
};

/** @brief What the caller must do next. */
enum class executor_step {
    read_store,
    read_engine,
    send,
    answer
};

/** @brief Action requested by an `order_executor`. */
struct executor_action {
    executor_step step{executor_step::answer};
    base::result<order_progress> answer{order_progress::accepted}; /**< For `answer`. */
    std::optional<lease::fence_check> check{}; /**< For `send`: check to perform before the last byte. */
};

/**
 * @brief Agent side of orders: decides whether an order is sent to the engine. Handles one order at a time.
 *
 * Each order is checked against the lease and the journal, which are read anew for it. The engine's state is read
 * before an order is sent, so that a repetition only reports progress. After an unanswered order, and after the agent
 * starts, no other order is sent while a delayed copy may still reach the engine.
 */
class order_executor {
public:
    order_executor(const base::clock &clock, executor_settings settings);

    /** @brief Starts the processing of an order. @return `read_store`, or `answer` with a refusal. */
    [[nodiscard]] executor_action on_order(order item, std::uint64_t fence);

    /**
     * @brief Outcome of `read_store`.
     * @param lease Object `lease/planner`.
     * @param journal Object `order/{backend}`.
     * @param asked When the first of the two reads was sent.
     */
    [[nodiscard]] executor_action on_store_read(const base::result<std::optional<store::object>> &lease,
                                                const base::result<std::optional<store::object>> &journal,
                                                base::instant asked);

    /** @brief Outcome of `read_engine`. */
    [[nodiscard]] executor_action on_engine_state(const base::result<engine_state> &state);

    /** @brief Outcome of `send`. */
    [[nodiscard]] executor_action on_engine_answer(const base::result<http::response> &answer);

    [[nodiscard]] const order &current() const noexcept { return item_; }
    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }
    [[nodiscard]] const executor_settings &settings() const noexcept { return settings_; }

private:
    const base::clock &clock_;
    executor_settings settings_;
    lease::fence_guard guard_;
    order item_;
    std::uint64_t fence_{0};
    std::optional<lease::fence_check> check_;
    std::string unanswered_order_; /**< Id of the order whose delayed copy may still arrive; empty after a start. */
    base::instant late_copy_until_;
};

/** @brief Parses `POST /order`. @return Order and fence. */
[[nodiscard]] base::result<std::pair<order, std::uint64_t>> parse_order_request(std::string_view body);

/** @brief Parses `GET /v1/state`. */
[[nodiscard]] base::result<engine_state> parse_engine_state(const http::response &answer);

/**
 * @brief Handles one `POST /order`. Blocks; the caller serialises the calls for one executor.
 * @param engine Address of the engine.
 * @return The agent's response: 200 with `order_id` and `progress`, 409 when nothing was sent to the engine, 503 when
 * the outcome is unknown.
 */
[[nodiscard]] http::response execute_order(order_executor &executor, const base::clock &clock,
                                           store::object_store &store, http::client &client, std::string_view engine,
                                           const http::request &message);

} // namespace dotterelstack::order
