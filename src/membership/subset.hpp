#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::membership {

/** @brief The agents whose runners serve one service. */
struct service_agents {
    std::string service;
    std::vector<std::string> agents; /**< Ordered, without duplicates. */
};

/**
 * @brief Load reports that an entry receives per second, one from each agent of its subset. A report of 32 bytes takes
 * about 120 bytes on the wire with frame, headers and acknowledgement: 56 of them use 6.7 KB/s of the 23 KB/s.
 */
inline constexpr std::size_t max_reports_per_second = 56;

/**
 * @brief Divides the reports of an entry among the services in proportion to their agents, at least one for each.
 * @return Agents per entry, in the order of the services. The sum exceeds `limit` only if there are more services than
 * that.
 */
[[nodiscard]] std::vector<std::size_t> divide_reports(std::span<const service_agents> services, std::size_t limit);

/**
 * @brief Chooses the agents that an entry connects to and receives load reports from. All entries with the same lists
 * compute the same assignment. Each agent is assigned to the entries with free capacity that score best by rendezvous
 * hash, those below the mean first: no entry exceeds `per_entry`, none is without an agent, and every agent is assigned
 * while the capacity suffices for all.
 * @param self Address of the entry.
 * @param entries Addresses of all entries, ordered, without duplicates.
 * @param service Service whose agents are assigned.
 * @param per_entry Maximum number of its agents per entry.
 * @return Agents assigned to `self`.
 */
[[nodiscard]] std::vector<std::string> choose_subset(std::string_view self, std::span<const std::string> entries,
                                                     const service_agents &service, std::size_t per_entry);

} // namespace dotterelstack::membership
