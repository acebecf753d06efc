#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "dispatch/call_port.hpp"
#include "dispatch/exchange.hpp"
#include "dispatch/refusal.hpp"
#include "metrics/registry.hpp"
#include "retry/retry_policy.hpp"

namespace dotterelstack::dispatch {

/** @brief Identifies an exchange within its engine. */
using exchange_number = std::uint64_t;

/**
 * @brief Drives requests of all kinds from the first attempt to the final answer: attempts, retries, waits for
 * capacity, deadlines and callers that disconnect. Receives events, makes calls through the port and never blocks.
 * Not thread-safe.
 *
 * Work that must not be repeated is sent again only with evidence that it has not run. A request is refused as not run
 * only if there is evidence that none of its attempts ran.
 */
class engine {
public:
    /** @brief Objects that the engine uses; all must outlive it. */
    struct dependencies {
        const base::clock &time;
        metrics::registry &metrics;
        call_port &calls;
        retry::retry_policy &retries;
    };

    explicit engine(dependencies with) : deps_{with} {}

    /** @brief Adds a request, which is held until it is started. */
    exchange_number add(std::unique_ptr<exchange> request);

    /** @brief Starts the first attempt of a held request. */
    void start(exchange_number number);

    /** @brief Ends a request at once. An attempt in progress is cancelled, and its outcome is then unknown. */
    void end(exchange_number number, refusal why);

    /** @brief Removes a request that its front end has answered. */
    void finish(exchange_number number) { erase(number); }

    /** @param seen Result of the inquiry; ignored when it is no longer awaited. */
    void on_inquiry(exchange_number number, retry::evidence_kind seen);

    void on_head(call_id call, int status, const http::field_list &fields);
    void on_data(call_id call, std::string_view part);

    /** @param answer Status, fields and body, unless they were passed to `on_head` and `on_data`. */
    void on_end(call_id call, call_end how, const http::response &answer = {});

    /** @brief Periodic work: deadlines, delayed and waiting requests, callers that have disconnected. */
    void tick();

    /** @brief Tries to place the requests that wait for capacity, those of each line in order of rank. */
    void place_waiting();

    /** @brief Ends all requests. */
    void end_all(const refusal &why);

    [[nodiscard]] exchange *find(exchange_number number) const;
    [[nodiscard]] std::size_t size() const noexcept { return exchanges_.size(); }

private:
    /** Requests that wait for the same capacity, in order of rank. */
    struct waiting_line {
        std::set<std::pair<exchange_rank, exchange_number>> requests;
        /** Rank of the first request that blocks the line, as of the latest attempt to place it. */
        std::optional<exchange_rank> blocked;
    };

    [[nodiscard]] std::vector<exchange_number> numbers() const;
    [[nodiscard]] bool must_wait_in_line(const exchange &it) const;
    void enter_line(exchange_number number, exchange &it, const wait_for_capacity &wait);
    void leave_line(exchange_number number, exchange &it);
    void erase(exchange_number number);
    void place_line(const std::string &name);
    void take(exchange_number number, exchange &it, place_result found);
    void attempt(exchange_number number, exchange &it);
    void open_call(exchange_number number, exchange &it, outgoing_call what);
    void close_call(exchange &it, attempt_outcome how, bool still_open);
    void handle_result(exchange_number number, exchange &it, call_event_result result, bool still_open);
    void after_failure(exchange_number number, exchange &it, const retry::evidence &seen);
    void retry_or_end(exchange_number number, exchange &it, const retry::evidence &seen);
    void check_timeouts(exchange_number number, exchange &it, base::instant now);

    dependencies deps_;
    std::map<exchange_number, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<call_id, exchange_number> calls_;
    std::map<std::string, waiting_line, std::less<>> lines_;
    exchange_number next_number_{1};
    call_id next_call_{1};
};

} // namespace dotterelstack::dispatch
