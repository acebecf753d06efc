#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "gateway/backend_server.hpp"

namespace dotterelstack::gateway {

/** @brief A discovery entry with its store revision. */
struct fleet_entry {
    backend_server server;
    std::uint64_t revision{0}; /**< Store revision of the last write of the entry. */
};

/** @brief How a call to the store has failed. */
enum class store_failure : std::uint8_t {
    no_answer,     /**< No answer in time, or no connection. */
    connection_cut /**< The connection ended; the store itself may be well. */
};

/** @brief Settings of a `fleet_view`. */
struct fleet_settings {
    /** Servers whose entries expired during a store outage rewrite them within about 2 s after its end. */
    base::duration outage_grace{std::chrono::milliseconds{2200}};
    /** A store that answers so soon after a cut connection was not away. */
    base::duration shortest_outage{std::chrono::milliseconds{100}};
    /** An entry removed within this time after an outage is taken to have expired because of it. */
    base::duration outage_expiry_window{std::chrono::milliseconds{500}};
    /** Grace of an entry that is removed later than that, but still within `outage_grace`. */
    base::duration removal_grace{std::chrono::milliseconds{1000}};
};

/**
 * @brief Maintains the set of usable backend servers from service discovery data. Not thread-safe.
 *
 * An entry that is removed while the store is available is dropped at once. One that is removed during a store outage
 * is kept until the grace after the outage has passed. One that is removed shortly after an outage has a shorter grace,
 * because the server may have left permanently. An entry that becomes unreadable has the grace of an outage. A grace
 * that has begun stands still during a further outage. Reports of an earlier incarnation, and reports older than the
 * newest one seen, are ignored. A server that had left before the store returned from a copy comes back only with a
 * report that is newer than the one in the copy.
 */
class fleet_view {
public:
    /** @param time Clock; must outlive this object. */
    explicit fleet_view(const base::clock &time, fleet_settings settings = {});

    /** @brief Replaces all entries by a complete list. @param unreadable Ids of listed entries that cannot be read. */
    void on_list(const std::vector<fleet_entry> &all, const std::vector<std::string> &unreadable = {});

    /** @return False when the report was ignored as outdated. */
    bool on_change(const fleet_entry &entry);

    /** @param revision Store revision of the removal; 0 when unknown. */
    void on_removed(std::string_view id, std::uint64_t revision);

    /**
     * @brief An entry was overwritten and cannot be read any more. This does not tell that the server has left: it is
     * kept for the time in which a server writes its entry again.
     */
    void on_unreadable(std::string_view id);

    /** @brief The store has answered a call. */
    void on_store_answer();

    /** @brief A call to the store has failed. */
    void on_store_failure(store_failure how = store_failure::no_answer);

    /**
     * @brief The store has returned from a copy; the next list is that of the copy. Servers that it lacks have the time
     * to write themselves again that they have after an outage, and what it says of servers that had left is no news.
     */
    void on_store_returned();

    /** @brief Drops removed entries whose grace has passed. @return True when the set changed. */
    [[nodiscard]] bool expire();

    /** @return Time of the next removal by `expire`, or nothing. */
    [[nodiscard]] std::optional<base::instant> next_expiry() const;

    /** @return Usable backend servers, including draining ones. */
    [[nodiscard]] std::vector<backend_server> servers() const;

    /** @return True once a complete list was received. */
    [[nodiscard]] bool known() const noexcept { return known_; }

private:
    struct member {
        fleet_entry entry;
        std::optional<base::instant> remove_at; /**< Set once the entry is gone from the store, or unreadable. */
        bool unreadable{false};                 /**< The entry is in the store, but cannot be read. */
    };

    struct report_position {
        std::uint64_t incarnation_start_ms{0};
        std::uint64_t sequence{0};
        bool departed{false}; /**< The entry has been removed since. */
    };

    bool apply(const fleet_entry &entry);
    void mark_missing(member &it);
    void ignore_departed(const backend_server &listed);

    const base::clock &time_;
    const fleet_settings settings_;
    std::map<std::string, member, std::less<>> members_;
    std::map<std::string, report_position, std::less<>>
        newest_reports_; /**< Newest report of each id, kept after its removal. */
    bool reachable_{false};
    base::instant reachable_since_{};   /**< End of the last outage. */
    base::instant unreachable_since_{}; /**< First failure since the last answer. */
    bool answer_missing_{false};        /**< One of the failures since then was no mere cut of a connection. */
    bool known_{false};
    bool list_is_copy_{false}; /**< The next list is that of a copy. */
};

} // namespace dotterelstack::gateway
