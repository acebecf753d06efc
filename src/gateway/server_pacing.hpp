#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "dispatch/attempt.hpp"
#include "gateway/backend_server.hpp"
#include "gateway/gateway_group.hpp"
#include "pace/server_pace.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Paces the requests of this gateway to servers that have just started or recovered. Not thread-safe.
 *
 * A server has started if its incarnation appears in discovery later than the first list, and has recovered when it
 * answers after a back-off. Only services whose servers share their hosts are paced: they report how long work takes,
 * and a server there is not as fast as its slots suggest. Limits, pauses and leaving that servers state go first.
 */
class server_pacing {
public:
    /** @param time Clock; must outlive this object. */
    explicit server_pacing(const base::clock &time, pace::pace_settings settings = {})
        : time_{time}, settings_{settings} {}

    /** @brief Takes the list of all servers. */
    void update(const std::vector<backend_server> &all);

    /** @brief Sets the gateways among which the first requests to a server are divided. */
    void set_gateways(gateway_group all) { gateways_ = std::move(all); }

    /** @brief A server of the service reports how long work takes on its host. */
    void on_shared_host(std::string_view service) { services_.emplace(service); }

    /** @brief A server answers again after a back-off. */
    void on_recovered(const backend_server &it);

    /** @brief An answer has begun. @param ratio Its time relative to the estimate. @param sent When it was sent. */
    void on_time(std::string_view id, double ratio, base::instant sent);

    /** @brief An attempt that was sent at `sent` has ended. */
    void on_ended(std::string_view id, dispatch::attempt_outcome how, base::instant sent);

    /**
     * @param in_progress Own requests at the server.
     * @return When the server takes the next request of this gateway; the past if it does so now.
     */
    [[nodiscard]] base::instant open_at(std::string_view id, std::uint32_t in_progress) const;

    /** @return Number of servers that are being paced. */
    [[nodiscard]] std::size_t paced() const noexcept { return paces_.size(); }

private:
    void begin(const backend_server &it, bool recovered);
    [[nodiscard]] pace::server_pace *find(std::string_view id);

    const base::clock &time_;
    const pace::pace_settings settings_;
    std::map<std::string, std::uint64_t, std::less<>> listed_; /**< Start of the incarnation, by id. */
    std::set<std::string, std::less<>> services_;              /**< With servers that share their hosts. */
    std::map<std::string, pace::server_pace, std::less<>> paces_;
    gateway_group gateways_;
};

} // namespace dotterelstack::gateway
