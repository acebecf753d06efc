#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace dotterelstack::admission {

/**
 * @brief Virtual times of organisations for start-time fair queuing. Not thread-safe.
 *
 * Each request gets the virtual time at which it would start if the organisations shared the service equally. Served in
 * this order, an organisation that asks for much waits behind others, and one that was idle has no credit for that
 * time. All functions cost O(log n) in the number of organisations.
 */
class fair_shares {
public:
    /**
     * @brief A request has arrived.
     * @param work Work that it asks for, in any unit that is used for all requests of the service.
     * @return Virtual start time; requests with a lower one go first.
     */
    [[nodiscard]] double arrive(std::string_view service, std::string_view organisation, double work);

    /** @brief A request has been placed. @param start As returned by `arrive`. */
    void place(std::string_view service, double start);

    /** @brief A request has ended without having been placed; its work counts no longer. */
    void withdraw(std::string_view service, std::string_view organisation, double work);

    /** @brief Forgets organisations whose virtual time has passed. Call it about once a second. */
    void expire();

    /** @return Number of organisations of a service that are remembered. */
    [[nodiscard]] std::size_t size(std::string_view service) const;

private:
    struct service_state {
        double virtual_time{0}; /**< Largest start time of a placed request. */
        /** By organisation: virtual time at which its requests so far are served. */
        std::map<std::string, double, std::less<>> finish;
    };

    std::map<std::string, service_state, std::less<>> services_;
};

} // namespace dotterelstack::admission
