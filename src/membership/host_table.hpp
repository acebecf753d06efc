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

/** @brief One host in the host list of the platform. */
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
    leaving,   /**< According to the list or its own heartbeat; gets no new work. */
    suspected, /**< Silent or unreachable; gets no new work. */
    gone       /**< Unknown, or missing from one list while silent, or missing from `absences_to_confirm` lists. */
};

/** @brief Action: apply the new state of a host. */
struct host_changed {
    listed_host facts;
    host_state state{host_state::gone};
};

/** @brief Consecutive lists that must lack a host that still answers before it is removed. A single one may be an
 * incomplete list from an outdated replica. */
inline constexpr unsigned absences_to_confirm = 2;

/**
 * @brief Combines the platform's host list, which lags, with the heartbeats of the hosts. Only the list adds hosts; a
 * heartbeat that announces leaving, or a lack of heartbeats, stops new work at once, whatever the list contains. Not
 * thread-safe.
 */
class host_table {
public:
    explicit host_table(const base::clock &time, liveness_options options = {}) : liveness_{time, options} {}

    /** @brief The list was read. Callers do not report failed reads, so these change nothing. */
    [[nodiscard]] std::vector<host_changed> on_list(std::span<const listed_host> list);

    /** @brief A host answered. Unlisted hosts are ignored. @param leaving Whether it announces that it is leaving. */
    [[nodiscard]] std::vector<host_changed> on_heartbeat(std::string_view host, bool leaving);

    /** @brief The host is known to be down, for example because its address refuses connections. */
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
