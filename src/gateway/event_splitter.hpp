#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelstack::gateway {

/** @brief One whole event of a stream. */
struct stream_event {
    std::string text;                /**< Bytes as received, the blank line included. */
    std::optional<std::uint64_t> id; /**< Number in its `id` field. */
};

/**
 * @brief Cuts a `text/event-stream` body into whole events, so that an event which broke off midway is never passed on.
 */
class event_splitter {
public:
    /** @brief Adds received bytes. */
    void feed(std::string_view part) { rest_.append(part); }

    /** @return The next whole event, or nothing until more bytes arrive. */
    [[nodiscard]] std::optional<stream_event> next();

    /** @return True when bytes of an unfinished event are held back. */
    [[nodiscard]] bool partial() const noexcept { return !rest_.empty(); }

private:
    std::string rest_;
};

} // namespace dotterelstack::gateway
