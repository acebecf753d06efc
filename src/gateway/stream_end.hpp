#pragma once

namespace dotterelstack::gateway {

/** @brief What is known of a stream when an attempt at it has ended without an error of the connection. */
struct stream_end {
    bool framed{false};        /**< The answer has a length or chunks, so its end is not that of the connection. */
    bool inside_event{false};  /**< The last event is incomplete. */
    bool new_event{false};     /**< The attempt has delivered an event that the caller did not have. */
    bool resumed{false};       /**< The attempt began after an event that the caller has. */
    bool more_expected{false}; /**< An earlier attempt broke off inside the next event. */
};

/**
 * @brief Decides whether the caller has the whole stream.
 *
 * A backend server that ends before its first event may close the connection like one that is done. Only an end that is
 * marked as such, of a run that was asked to go on after the last event, shows that nothing is left.
 */
[[nodiscard]] constexpr bool is_whole(const stream_end &it) noexcept {
    return !it.inside_event && (it.new_event || (it.framed && it.resumed && !it.more_expected));
}

} // namespace dotterelstack::gateway
