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
 * @brief Reports that an entry hears per second, one from each agent of its subset. A report of 32 bytes takes about
 * 120 bytes on the wire with frame, headers and acknowledgement: 56 of them are 6.7 KB/s of the 23 KB/s.
 */
inline constexpr std::size_t max_reports_per_second = 56;

/**
 * @brief Divides the reports of an entry among the services in proportion to their agents, at least one for each.
 * @return Agents per entry, in the order of the services; together at most `limit`, if it is at least their number.
 */
[[nodiscard]] std::vector<std::size_t> divide_reports(std::span<const service_agents> services, std::size_t limit);

/**
 * @brief Chooses the agents that an entry connects to and hears load reports of. All entries with the same lists come
 * to the same result. Each agent goes to its best entries by rendezvous hash that have room, those below the mean
 * first: no entry exceeds its number, none is left without an agent, and no agent is left out while there is room for
 * all.
 * @param self Address of the entry.
 * @param entries Addresses of all entries, ordered, without duplicates.
 * @param service One service.
 * @param per_entry Largest number of its agents at one entry.
 */
[[nodiscard]] std::vector<std::string> choose_subset(std::string_view self, std::span<const std::string> entries,
                                                     const service_agents &service, std::size_t per_entry);

} // namespace dotterelstack::membership
