#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/limit_share.hpp"
#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

/** @brief Outcome of counting a request against a server's limit. */
enum class limit_use : std::uint8_t {
    unlimited, /**< The server has no limit. */
    counted,
    exceeded /**< The request must not be sent now. */
};

/**
 * @brief What backend servers have said about themselves in their answers to this gateway. Not thread-safe.
 *
 * A notice belongs to the incarnation that has given it. It is kept while discovery entries come and go.
 */
class server_notices {
public:
    /** @param time Clock; must outlive this object. */
    explicit server_notices(const base::clock &time) : time_{time} {}

    /**
     * @brief Records the notice of an answer, and logs what is new in it.
     * @param asked When the request was sent. An answer ends a limit only if it was asked for after the limit was last
     * named, because answers may overtake each other.
     */
    void record(const server_incarnation &from, const server_notice &notice, base::instant asked);

    /** @brief Sets the gateways that share the limits of servers. */
    void set_gateways(gateway_group group);

    /** @brief Drops the notices of servers that have not been listed for long. @param listed Ids. */
    void forget_unlisted(const std::set<std::string_view> &listed);

    /** @return True once the incarnation has said that it is leaving. */
    [[nodiscard]] bool leaving(const backend_server &it) const;

    /** @return End of the longest pause that the incarnation has asked for; the past if there is none. */
    [[nodiscard]] base::instant pause_end(const backend_server &it) const;

    /** @return When the incarnation's limit lets this gateway send the next request; the past without a limit. */
    [[nodiscard]] base::instant limit_end(const backend_server &it) const;

    /** @brief Counts a request against the incarnation's limit, if it has one. */
    [[nodiscard]] limit_use use_limit(const backend_server &it);

private:
    struct limit_state {
        double requests_per_second{0};
        base::instant first_named{};
        base::instant last_named{};
        limit_share share{};
        std::optional<base::instant> used{}; /**< When the last request under the limit was sent. */
    };

    struct state {
        std::uint64_t incarnation_start_ms{0};
        base::instant last_listed{};
        bool leaving{false};
        base::instant pause_end{};
        std::optional<limit_state> limit;
    };

    [[nodiscard]] const state *find(const backend_server &it) const;
    void record_limit(const server_incarnation &from, const server_notice &notice, base::instant asked, state &it);

    const base::clock &time_;
    std::map<std::string, state, std::less<>> states_;
    gateway_group gateways_;
};

} // namespace dotterelstack::gateway
