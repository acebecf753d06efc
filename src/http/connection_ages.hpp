#pragma once

#include <list>
#include <optional>
#include <unordered_map>

#include "base/clock.hpp"

namespace dotterelstack::http {

/** @brief What the server waits for on a connection of a caller. */
enum class connection_phase {
    idle,         /**< The next request. */
    reading_head, /**< The rest of a head that has begun. */
    busy,         /**< A request is read, worked on or answered. */
    closing       /**< Its end; what still arrives is not handled. */
};

/** @brief Limits on the time of a phase; zero means none. */
struct phase_limits {
    base::duration idle{0};
    base::duration reading_head{0};
};

/**
 * @brief Keeps since when each connection is idle or has a head that is not complete. Not thread-safe.
 *
 * Each operation takes constant time, so that thousands of idle connections cost nothing until they are due.
 */
class connection_ages {
public:
    /** @param time Clock; must outlive this object. */
    explicit connection_ages(const base::clock &time) : time_{time} {}

    /** @brief Begins a phase of a connection, which may be new. A connection that is closing stays so. */
    void enter(int id, connection_phase phase);

    void remove(int id);

    /** @return The phase of a connection; `closing` for an unknown one. */
    [[nodiscard]] connection_phase phase(int id) const;

    /** @return A connection that has been in a phase for longer than its limit, the longest one first. */
    [[nodiscard]] std::optional<int> overdue(const phase_limits &limits) const;

    /** @return The connections that are idle, the longest one first. */
    [[nodiscard]] const std::list<int> &idle() const noexcept { return idle_; }

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        connection_phase phase{connection_phase::busy};
        base::instant since{};
        std::list<int>::iterator position{}; /**< In the list of the phase, if it has one. */
    };

    [[nodiscard]] std::list<int> *list_of(connection_phase phase) noexcept;
    [[nodiscard]] std::optional<int> overdue_in(const std::list<int> &all, base::duration limit) const;

    const base::clock &time_;
    std::unordered_map<int, entry> entries_;
    std::list<int> idle_;
    std::list<int> reading_head_;
};

} // namespace dotterelstack::http
