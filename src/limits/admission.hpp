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

/** @brief Declared limits of a row, over all entries. */
struct row_limits {
    double weight{1.0};                    /**< Share of the service relative to other rows, greater than 0. */
    std::uint32_t max_concurrency{0};      /**< 0 = unlimited. */
    double requests_per_second{0};         /**< 0 = unlimited. */
    double prompt_tokens_per_second{0};    /**< 0 = unlimited. */
    double generated_tokens_per_second{0}; /**< 0 = unlimited. */
    std::uint32_t max_queue{64};           /**< 0 = nothing waits: a request is admitted or refused. */
};

/** @brief What this entry may use of a row; an absent field leaves the declared limit, 0 allows nothing. */
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
    int priority{0};                       /**< Higher goes first, within its row only. */
    base::instant deadline{base::instant::max()};
};

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
    duplicate    /**< The request id is waiting or running. */
};

/** @brief Answer to a submission. A refused request has not run. */
struct decision {
    std::string request;
    verdict outcome{verdict::refused};
    refusal reason{refusal::none};
    base::duration retry_after{0}; /**< Expected time until the same request would be dispatched. */
};

/** @brief Load of one row on this entry; input of the demand sent to the share coordinator. */
struct row_status {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    double waiting_prompt_tokens{0};
    double waiting_generated_tokens{0}; /**< Expected, from earlier requests of the row. */
    std::uint64_t admitted{0};          /**< Since the row was created, as the fields below. */
    double charged_prompt_tokens{0};    /**< Served, or expected of running requests. */
    double charged_generated_tokens{0};
};

/**
 * @brief Admits the requests of one entry: limits of each row, then weighted fair sharing of each
 * service's slots by served tokens.
 *
 * Every call is O(log n). After `finish`, `cancel`, `set_capacity`, `set_row`, `set_share` and at
 * `next_wakeup()` the owner calls `poll()`. Not thread-safe.
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

    /** @brief Removes a row; waiting requests are refused by the next `poll()`, running ones go on. */
    void remove_row(row_key key);

    /** @brief Sets the part of a row's limits that this entry may use; unknown rows are ignored. */
    void set_share(row_key key, const row_share &share);

    /** @param slots Requests of the service that may run at the same time through this entry. */
    void set_capacity(std::string_view service, std::uint32_t slots);

    /** @return Admitted (dispatch it now), queued (a later `poll()` decides) or refused. */
    [[nodiscard]] decision submit(const submission &item);

    /** @return Waiting requests that are now admitted or refused, in order of dispatch. */
    [[nodiscard]] std::vector<decision> poll();

    /** @return When `poll()` has work to do without any other call; nothing when no request waits. */
    [[nodiscard]] std::optional<base::instant> next_wakeup() const noexcept;

    /** @brief Adds tokens served since the last call to a running request. Unknown ids are ignored. */
    void add_served_tokens(std::string_view request, std::uint64_t prompt, std::uint64_t generated);

    /** @brief Ends a running request. @return False when it is not running. */
    bool finish(std::string_view request);

    /** @brief Withdraws a waiting request or ends a running one. @return False when unknown. */
    bool cancel(std::string_view request);

    /** @return Load of a row; zeros for an unknown row. */
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
        double prompt{0};    /**< Charged prompt tokens: the estimate, then at least what was served. */
        double generated{0}; /**< Charged generated tokens: the expectation, then at least what was served. */
        double max_generated{0};
        double served_prompt{0};
        double served_generated{0};
        const std::string *id{nullptr};
    };

    /** @brief Sum over waiting requests. */
    struct backlog {
        double requests{0};
        double prompt{0};
        double generated{0};
        void add(const request_state &it) noexcept;
        void remove(const request_state &it) noexcept;
    };

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
        double virtual_time{0};   /**< Start tag of the last dispatched request. */
        double mean_run{0};       /**< Seconds; 0 until a request has finished. */
        double mean_cost{0};      /**< Tokens of a request. */
        std::set<std::pair<double, row_id>> ready;
        std::unordered_map<std::string, row_id, string_hash, std::equal_to<>> rows;
    };

    struct estimate {
        refusal reason{refusal::none};
        base::duration wait{0};
        bool certain{true}; /**< False when the blocker's end is not known, e.g. a share of 0. */
    };

    /** @brief Whether a wait includes the time until the next slot, which is unknown and may be zero. */
    enum class turn : std::uint8_t {
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
                                         turn counted) const;
    [[nodiscard]] base::duration retry_after(const row_state &row, const request_state &it, const backlog &ahead) const;
    void charge(row_id id, double prompt, double generated);
    void start(row_id id, request_state &it);
    void release(request_map::iterator it);
    void enqueue(row_id id, request_state &it);
    void dequeue(request_state &it);
    void refuse_waiting(request_state &it, refusal reason, base::duration retry_after);
    void reconsider(row_id id);
    void drop_hopeless(row_id id);
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
    std::vector<decision> outbox_;
};

} // namespace dotterelstack::limits
