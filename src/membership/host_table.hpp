#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "membership/liveness.hpp"

namespace dotterelstack::membership {

/** @brief One row of the platform's host list. */
struct listed_host {
    std::string host;
    std::string role;
    std::string address;
    std::string failure_domain;
    bool leaving{false};

    bool operator==(const listed_host &) const = default;
};

enum class host_state : std::uint8_t {
    live,
    leaving,   /**< By the list or by its own word; gets no new work. */
    suspected, /**< Does not answer; gets no new work. */
    gone       /**< Unknown, or missed_lists from the list and silent or confirmed as missed_lists. */
};

/** @brief Action: a host has changed its state. */
struct host_changed {
    listed_host facts;
    host_state state{host_state::gone};
};

/** @brief Lists without a host that still answers before it is given up. One may be a short list of an old replica. */
inline constexpr unsigned absences_to_confirm = 2;

/**
 * @brief Merges the platform's lagging host list with the hosts' own heartbeats. The list brings hosts in; their own
 * word and their silence take work away at once. Not thread-safe.
 */
class host_table {
public:
    explicit host_table(const base::clock &time, liveness_options options = {}) : liveness_{time, options} {}

    /** @brief A read of the list succeeded. Failed reads are not reported and change nothing. */
    [[nodiscard]] std::vector<host_changed> on_list(std::span<const listed_host> list);

    /** @brief A host answered. @param leaving Whether it says that it is leaving. Unlisted hosts are ignored. */
    [[nodiscard]] std::vector<host_changed> on_heartbeat(std::string_view host, bool leaving);

    /** @brief The host is known to be gone, for example because its address refuses connections. */
    [[nodiscard]] std::vector<host_changed> on_refused(std::string_view host);

    /** @brief Call every `liveness_options::tick`. */
    [[nodiscard]] std::vector<host_changed> on_time();

    [[nodiscard]] host_state state(std::string_view host) const;

    /** @return Whether new work may be sent to the host. */
    [[nodiscard]] bool accepts_work(std::string_view host) const { return state(host) == host_state::live; }

    [[nodiscard]] std::size_t size() const noexcept { return hosts_.size(); }

private:
    struct host_record {
        listed_host facts;
        bool announced_leaving{false};
        bool refused{false};
        unsigned missed_lists{0};
        host_state reported_state{host_state::gone};
    };

    [[nodiscard]] host_state state_of(const host_record &it) const;
    void report_change(host_record &it, std::vector<host_changed> &out) const;

    liveness liveness_;
    std::map<std::string, host_record, std::less<>> hosts_;
};

} // namespace dotterelstack::membership
