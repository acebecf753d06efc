#pragma once

#include <optional>
#include <string_view>

#include "base/clock.hpp"
#include "gateway/gateway_group.hpp"

namespace dotterelstack::gateway {

/**
 * @brief When this gateway may send to a server that limits the requests of all gateways together.
 *
 * A few gateways, chosen by rendezvous hashing, share the limit evenly. The others have short turns far apart, just to
 * learn whether the limit still holds. So the sum in any four seconds is bounded whatever the load at each gateway is,
 * and whatever the number of gateways.
 */
struct limit_share {
    base::duration interval{0}; /**< At least this time lies between two requests, or between two turns. */
    /** Length of a turn, in which one request may be sent; none without turns. */
    std::optional<base::duration> turn{};
    base::duration phase{0}; /**< Of the turns. */

    /**
     * @param told When the limit was first named.
     * @param used When the last request was sent under it, if any.
     * @return When the next request may be sent; `now` or earlier if it may be sent at once.
     */
    [[nodiscard]] base::instant next(base::instant now, base::instant told, std::optional<base::instant> used) const;
};

/**
 * @param limit Requests a second that the server takes.
 * @param server Id of the server.
 */
[[nodiscard]] limit_share share_of_limit(double limit, std::string_view server, const gateway_group &group);

} // namespace dotterelstack::gateway
