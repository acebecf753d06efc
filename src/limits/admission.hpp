#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "limits/row.hpp"
#include "limits/token_bucket.hpp"

namespace dotterelstack::limits {

/** @brief Configured limits of a row, summed over all entries. */
struct row_limits {
    double weight{1.0};                    /**< Share of the service relative to other rows, greater than 0. */
    std::uint32_t max_concurrency{0};      /**< 0 = unlimited. */
    double requests_per_second{0};         /**< 0 = unlimited. */
    double prompt_tokens_per_second{0};    /**< 0 = unlimited. */
    double generated_tokens_per_second{0}; /**< 0 = unlimited. */
    std::uint32_t max_queue{64};           /**< 0 = nothing waits: a request is admitted or refused. */
};

/** @brief Part of a row's limits assigned to this entry. An absent field keeps the declared limit; 0 admits nothing. */
struct row_share {
    std::optional<std::uint32_t> max_concurrency;
    std::optional<double> requests_per_second;
    std::optional<double> prompt_tokens_per_second;
    std::optional<double> generated_tokens_per_second;
};

/** @brief A request that asks to be admitted. */
struct submission {
    std::string_view request;
    row_key row;
    std::uint64_t prompt_tokens{0};        /**< Estimate; corrected by the served tokens. */
    std::uint64_t max_generated_tokens{0}; /**< Upper bound. */
    int priority{0};                       /**< Higher values are dispatched first, within the row only. */
    base::instant deadline{base::instant::max()};
};

/** @brief Outcome of a submission. */
enum class verdict : std::uint8_t {
    admitted,
    queued,
    refused
};

/** @brief Why a request was refused. */
enum class refusal : std::uint8_t {
    none,
    concurrency,
    rate,
    prompt_tokens,
    generated_tokens,
    queue_full,
    capacity,
    deadline,    /**< The deadline had passed before the request was submitted. */
    unknown_row, /**< No such row, or the row was removed while the request waited. */
    duplicate    /**< A request with the same id is waiting or running. */
};

/** @brief Decision on a submission. A refused request has not been dispatched. */
struct decision {
    std::string request;
    verdict outcome{verdict::refused};
    refusal reason{refusal::none};
    base::duration retry_after{0}; /**< Estimated time until the same request could be dispatched. */
};

/** @brief Load of one row on this entry, from which the demand to the share coordinator is computed. */
struct row_status {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    double waiting_prompt_tokens{0};
    double waiting_generated_tokens{0}; /**< Estimated from earlier requests of the row. */
    std::uint64_t admitted{0};          /**< Count since the row was created; so are the two fields below. */
    double charged_prompt_tokens{0};    /**< Served tokens, plus the estimate for running requests. */
    double charged_generated_tokens{0};
};

/**
 * @brief Admission control of one entry: enforces the limits of each row, then shares the slots of each service
 * between its rows by weighted fair queuing on served tokens.
 *
 * Every call is O(log n). The owner must call `poll()` after `finish`, `cancel`, `set_capacity`, `set_row` and
 * `set_share`, and at `next_wakeup()`. Not thread-safe.
 */
class admission {
public:
    /** @param clock Must outlive this object. */
    explicit admission(const base::clock &clock);

    admission(const admission &) = delete;
    admission &operator=(const admission &) = delete;
    ~admission() = default;

    /** @brief Creates a row or changes its limits. Running requests are not affected. */
    void set_row(row_key key, const row_limits &limits);

    /** @brief Removes a row; waiting requests are refused by the next `poll()`, running ones continue. */
    void remove_row(row_key key);

    /** @brief Sets the part of a row's limits that this entry may use; unknown rows are ignored. */
    void set_share(row_key key, const row_share &share);

    /** @param slots Requests of the service that may run at the same time through this entry. */
    void set_capacity(std::string_view service, std::uint32_t slots);

    /** @return Admitted (dispatch it now), queued (a later `poll()` decides) or refused. */
    [[nodiscard]] decision submit(const submission &item);

    /** @return Waiting requests that are now admitted or refused, in order of dispatch. */
    [[nodiscard]] std::vector<decision> poll();

    /** @return Time of the next `poll()` that is due without any other call; nothing when no request waits. */
    [[nodiscard]] std::optional<base::instant> next_wakeup() const noexcept;

    /** @brief Reports the tokens served to a running request since the last call. Unknown ids are ignored. */
    void add_served_tokens(std::string_view request, std::uint64_t prompt, std::uint64_t generated);

    /** @brief Ends a running request. @return False when it is not running. */
    bool finish(std::string_view request);

    /** @brief Removes a waiting request or ends a running one. @return False when the id is unknown. */
    bool cancel(std::string_view request);

    /** @return Load of a row; all zero for an unknown row. */
    [[nodiscard]] row_status status(row_key key) const;

private:
    using row_id = std::uint32_t;
    using service_id = std::uint32_t;

    struct string_hash {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };

    struct request_state {
        row_id row{0};
        std::uint64_t sequence{0};
        int priority{0};
        bool running{false};
        base::instant deadline{};
        base::instant started{};
        double prompt{0};    /**< Charged prompt tokens: the larger of the estimate and the served tokens. */
        double generated{0}; /**< Charged generated tokens: the larger of estimate and served tokens. */
        double max_generated{0};
        double served_prompt{0};
        double served_generated{0};
        const std::string *id{nullptr};
    };

    /** @brief Totals over waiting requests. */
    struct backlog {
        double requests{0};
        double prompt{0};
        double generated{0};
        void add(const request_state &it) noexcept;
        void remove(const request_state &it) noexcept;
    };

    /** @brief Waiting requests of one priority, by sequence number. */
    struct lane {
        std::map<std::uint64_t, request_state *> waiting;
        backlog total;
    };

    struct row_state {
        std::string organisation;
        service_id service{0};
        bool removed{false};
        bool ready{false};
        row_limits limits;
        row_share share;
        std::optional<std::uint32_t> concurrency;
        token_bucket requests;
        token_bucket prompt;
        token_bucket generated;
        std::map<int, lane, std::greater<>> lanes;
        std::uint32_t waiting{0};
        std::uint32_t running{0};
        double virtual_time{0};
        std::uint64_t admitted{0};
        double charged_prompt{0};
        double charged_generated{0};
        double mean_generated{0};
        base::instant timer{base::instant::max()};
    };

    struct service_state {
        std::uint32_t slots{0};
        std::uint32_t running{0};
        std::uint32_t waiting{0};
        double waiting_weight{0}; /**< Sum of the weights of rows with waiting requests. */
        double virtual_time{0};   /**< Start tag of the last dispatched request, as in start-time fair queuing. */
        double mean_run{0};       /**< Mean run time in seconds; 0 until a request has finished. */
        double mean_cost{0};      /**< Mean number of tokens of a request. */
        std::set<std::pair<double, row_id>> ready;
        std::unordered_map<std::string, row_id, string_hash, std::equal_to<>> rows;
    };

    struct estimate {
        refusal reason{refusal::none};
        base::duration wait{0};
        bool certain{true}; /**< False when the end of the wait cannot be computed, e.g. a share of 0. */
    };

    /** @brief Whether an estimated wait includes the unknown, possibly zero time until the next free slot. */
    enum class slot_wait : std::uint8_t {
        excluded,
        included
    };

    using request_map = std::unordered_map<std::string, request_state, string_hash, std::equal_to<>>;

    [[nodiscard]] std::optional<row_id> find_row(row_key key) const;
    [[nodiscard]] service_id intern_service(std::string_view service);
    void apply_limits(row_state &row);
    [[nodiscard]] double expected_generated(const row_state &row, double max_generated) const noexcept;
    [[nodiscard]] estimate blocked_now(const row_state &row, const request_state &it) const;
    [[nodiscard]] estimate expected_wait(const row_state &row, const request_state &it, const backlog &ahead,
                                         slot_wait counted) const;
    [[nodiscard]] base::duration retry_after(const row_state &row, const request_state &it, const backlog &ahead) const;
    void charge(row_id id, double prompt, double generated);
    void start(row_id id, request_state &it);
    void release(request_map::iterator it);
    void enqueue(row_id id, request_state &it);
    void dequeue(request_state &it);
    void refuse_waiting(request_state &it, refusal reason, base::duration retry_after);
    void update_row_schedule(row_id id);
    void refuse_unmeetable_requests(row_id id);
    void set_ready(row_id id, bool ready);
    void set_timer(row_id id, base::instant at);
    void dispatch(service_id id);

    const base::clock &clock_;
    base::instant now_{};
    std::uint64_t next_sequence_{0};
    std::vector<row_state> rows_;
    std::vector<row_id> free_rows_;
    std::vector<service_state> services_;
    std::unordered_map<std::string, service_id, string_hash, std::equal_to<>> service_ids_;
    request_map requests_;
    std::set<std::pair<base::instant, row_id>> timers_;
    std::map<std::pair<base::instant, std::uint64_t>, request_state *> deadlines_;
    std::vector<decision> decisions_;
};

} // namespace dotterelstack::limits
