#pragma once

#include <array>
#include <list>
#include <optional>
#include <unordered_map>

#include "base/clock.hpp"

namespace dotterelstack::http {

/** @brief What the server waits for on a connection of a caller. */
enum class connection_phase {
    idle,         /**< The next request. */
    reading_head, /**< The rest of a head that has begun. */
    reading_body, /**< The rest of a body. */
    answering,    /**< The caller, who has to read an answer. */
    busy,         /**< The answer to a request, or its next part. */
    closing       /**< Its end; what still arrives is not handled. */
};

/** @brief Limits on the time of a phase; zero means none. */
struct phase_limits {
    base::duration idle{0};
    base::duration reading_head{0};
    base::duration reading_body{0}; /**< Without progress. */
    base::duration answering{0};    /**< Without progress. */
};

/**
 * @brief Keeps since when each connection has been in its phase, or has made no progress there. Not thread-safe.
 *
 * Each operation takes constant time, so that thousands of idle connections cost nothing until they are due.
 */
class connection_ages {
public:
    /** @param time Clock; must outlive this object. */
    explicit connection_ages(const base::clock &time) : time_{time} {}

    /** @brief Begins a phase of a connection, which may be new, or notes progress if it is in this phase. A connection
     * that is closing stays so. */
    void enter(int id, connection_phase phase);

    void remove(int id);

    /** @return The phase of a connection; `closing` for an unknown one. */
    [[nodiscard]] connection_phase phase(int id) const;

    /** @return A connection that has been in a phase for longer than its limit, the longest one first. */
    [[nodiscard]] std::optional<int> overdue(const phase_limits &limits) const;

    /** @return The connections that are idle, the longest one first. */
    [[nodiscard]] const std::list<int> &idle() const noexcept { return in(connection_phase::idle); }

    /** @return The connections in a phase other than busy and closing, the one with the oldest progress first. */
    [[nodiscard]] const std::list<int> &in(connection_phase phase) const noexcept {
        return lists_.at(static_cast<std::size_t>(phase));
    }

    /** @return The connection that has made no progress in a phase for longest, if that is longer than `limit`. */
    [[nodiscard]] std::optional<int> stalled(connection_phase phase, base::duration limit) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

    /** @return Number of connections that are not closing. */
    [[nodiscard]] std::size_t open() const noexcept { return entries_.size() - closing_; }

private:
    struct entry {
        connection_phase phase{connection_phase::busy};
        base::instant since{};
        std::list<int>::iterator position{}; /**< In the list of the phase, if it has one. */
    };

    [[nodiscard]] std::list<int> *list_of(connection_phase phase) noexcept;

    static constexpr std::size_t timed_phases = 4;

    const base::clock &time_;
    std::unordered_map<int, entry> entries_;
    std::array<std::list<int>, timed_phases> lists_;
    std::size_t closing_{0}; /**< Connections in that phase. */
};

} // namespace dotterelstack::http
