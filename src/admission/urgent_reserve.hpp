#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::admission {

/** @brief More urgent work that needs room. */
struct urgent_work {
    unsigned int urgency{0};
    base::duration objective{0}; /**< Time within which its callers need the answer. */
};

/**
 * @brief Keeps room for urgent work from less urgent work of the same service. Not thread-safe.
 *
 * Work that a server has accepted delays all that comes after it, whatever its urgency. So less urgent work is placed
 * only where the queue stays short enough for the more urgent work that has recently been asked for. A floor of what is
 * asked for is exempt, so that no kind of request is starved.
 */
class urgent_reserve {
public:
    /** @param time Clock; must outlive this object. */
    explicit urgent_reserve(const base::clock &time) : time_{time} {}

    /**
     * @brief A request has arrived.
     * @param urgency 0 is the most urgent.
     * @param objective Time within which its caller needs the answer; 0 if there is none.
     */
    void ask(std::string_view service, unsigned int urgency, base::duration objective);

    /** @brief A request has been placed for the first time. */
    void place(std::string_view service, unsigned int urgency);

    /**
     * @return The more urgent work with the shortest objective, if such work is a considerable part of recent arrivals;
     * empty also while less than the floor of the requests of this urgency has been placed.
     */
    [[nodiscard]] std::optional<urgent_work> above(std::string_view service, unsigned int urgency) const;

private:
    struct demand {
        double asked{0};  /**< Requests, with exponential decay. */
        double placed{0}; /**< The same. */
        base::duration objective{0};
        base::instant decayed_at{};
    };

    using demands = std::map<unsigned int, demand>;

    [[nodiscard]] demand &refreshed(std::string_view service, unsigned int urgency);
    [[nodiscard]] double kept(const demand &it) const;

    const base::clock &time_;
    std::map<std::string, demands, std::less<>> services_;
};

} // namespace dotterelstack::admission
