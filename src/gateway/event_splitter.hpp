#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelstack::gateway {

/** @brief One complete server-sent event. */
struct stream_event {
    std::string text;                /**< Bytes as received, including the blank line. */
    std::optional<std::uint64_t> id; /**< Value of the `id` field, if numeric. */
};

/**
 * @brief Splits a `text/event-stream` body into complete events, so that a truncated event is never forwarded.
 */
class event_splitter {
public:
    /** @brief Appends received bytes. */
    void feed(std::string_view part) { buffer_.append(part); }

    /** @return The next complete event, or nothing until more bytes arrive. */
    [[nodiscard]] std::optional<stream_event> next();

    /** @return True when bytes of an incomplete event are buffered. */
    [[nodiscard]] bool partial() const noexcept { return !buffer_.empty(); }

    /** @return Number of buffered bytes of an incomplete event. */
    [[nodiscard]] std::size_t size() const noexcept { return buffer_.size(); }

private:
    std::string buffer_;
    std::size_t searched_{0}; /**< Bytes of `buffer_` that contain no end of an event. */
};

} // namespace dotterelstack::gateway
