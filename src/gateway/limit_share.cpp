#include "gateway/limit_share.hpp"

#include <algorithm>
#include <cmath>

#include "base/seconds.hpp"
#include "gateway/gateway_order.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Gateways that share a limit of n requests a second: n and these. Each may be one request ahead of its share, and the
// platform tolerates 2 n + 5 requests in four seconds beyond the limit; the rest covers requests on their way and
// gateways that differ in the group they know.
constexpr double more_sharing_gateways = 3;
// The other gateways together send this fraction of the limit.
constexpr double turn_fraction = 0.125;
constexpr base::duration turn_length{std::chrono::seconds{4}};
// Assumed number of gateways while they are not known.
constexpr double assumed_gateways = 64;
// Requests a second for servers that take less, so that the end of their limit is noticed.
constexpr double least_limit = 0.1;
// A gateway cannot send as much, so a larger limit has no effect; it keeps intervals above the clock's resolution.
constexpr double greatest_limit = 1e6;

limit_share turns(double gateways, double limit, std::uint64_t hash) {
    limit_share out{.interval = base::from_seconds(gateways / (limit * turn_fraction)), .turn = turn_length};
    const auto period = static_cast<std::uint64_t>(out.interval.count());
    out.phase = base::duration{static_cast<base::duration::rep>(hash % period)};
    return out;
}

} // namespace internal

base::instant limit_share::next(base::instant now, base::instant told, std::optional<base::instant> used) const {
    if (!turn) {
        return used.value_or(told) + interval;
    }
    const auto begin = now - (now.time_since_epoch() + phase) % interval;
    const bool open = now < begin + *turn && used.value_or(told) < begin;
    return open ? now : begin + interval;
}

limit_share share_of_limit(double limit, std::string_view server, const gateway_group &group) {
    const auto rate = std::clamp(limit, internal::least_limit, internal::greatest_limit);
    const auto own = rendezvous_rank(engine_hash(server), engine_hash(group.own));
    if (!group.listed) {
        return internal::turns(internal::assumed_gateways, rate, own);
    }
    const auto sharing = std::min<double>(group.size(), std::floor(rate) + internal::more_sharing_gateways);
    if (position_in_order(server, group) < sharing) {
        return {.interval = base::from_seconds(sharing / rate)};
    }
    return internal::turns(group.size() - sharing, rate, own);
}

} // namespace dotterelstack::gateway
