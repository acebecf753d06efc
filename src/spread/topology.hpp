#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::spread {

/** @brief A process as listed by `membership`. */
struct process {
    std::string address;
    std::string failure_domain;

    bool operator==(const process &) const = default;
};

/** @brief Most entries of one failure domain that watch the store; 5 failure domains make 15 waiting watches. */
inline constexpr std::size_t max_relays_per_domain = 3;
/** @brief A relay for each so many entries of a failure domain, at least one; few relays leave entries for the agents.
 */
inline constexpr std::size_t entries_per_relay = 20;

/** @brief Rendezvous hash. @return Score of a candidate for a key; the highest score wins. */
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept;

/**
 * @brief Chooses the entries that watch the store. All processes with the same list choose the same ones.
 * @param entries Entries that are neither leaving nor suspected.
 * @return Relays, ordered by address.
 */
[[nodiscard]] std::vector<process> choose_relays(std::span<const process> entries);

/** @brief What a process does with the configuration it receives. */
enum class process_role : std::uint8_t {
    entry, /**< Polls relays. */
    agent  /**< Polls entries that are no relays. */
};

/**
 * @brief Orders the sources of a process: best of its own failure domain, best of the others, and so on in turn, so
 * that the first two lie in different failure domains whenever there are two.
 * @param self The process.
 * @param role Role of the process. A relay follows the store and uses these sources only while the store is down.
 * @param entries As for `choose_relays`.
 * @return Addresses without the process itself.
 */
[[nodiscard]] std::vector<std::string> order_sources(const process &self, process_role role,
                                                     std::span<const process> entries);

} // namespace dotterelstack::spread
