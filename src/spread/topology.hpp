#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::spread {

/** @brief Address and failure domain of a process, as listed by `membership`. */
struct process {
    std::string address;
    std::string failure_domain;

    bool operator==(const process &) const = default;
};

/** @brief Maximum of entries per failure domain that watch the store; 5 failure domains give 15 open watches. */
inline constexpr std::size_t max_relays_per_domain = 3;
/** @brief Entries of a failure domain per relay, at least one relay; relays are few so that agents can use the rest. */
inline constexpr std::size_t entries_per_relay = 20;

/** @brief Rendezvous (highest random weight) hash. @return Score of a candidate for a key; the highest one wins. */
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept;

/**
 * @brief Chooses the relays: the entries that watch the store. All processes with the same list, in any order,
 * choose the same relays.
 * @param entries Entries that are neither leaving nor suspected.
 * @return Relays, ordered by address.
 */
[[nodiscard]] std::vector<process> choose_relays(std::span<const process> entries);

/** @brief Role of a process in the distribution of the configuration. */
enum class process_role : std::uint8_t {
    entry, /**< Polls relays. */
    agent  /**< Polls entries that are not relays. */
};

/**
 * @brief Orders the sources of a process by rendezvous score, alternating between its own failure domain and the
 * others, so that the first two lie in different failure domains whenever there are two. Sources that match the role
 * precede the rest.
 * @param self The process.
 * @param role Role of the process. A relay watches the store and uses these sources only while the store is down.
 * @param entries As for `choose_relays`.
 * @return Addresses in order of preference, without that of the process itself.
 */
[[nodiscard]] std::vector<std::string> order_sources(const process &self, process_role role,
                                                     std::span<const process> entries);

} // namespace dotterelstack::spread
