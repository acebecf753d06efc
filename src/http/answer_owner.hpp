#pragma once

#include <cstdint>

namespace dotterelstack::http {

/** @brief To which request an answer belongs, by what it says itself. */
enum class answer_owner : std::uint8_t {
    own,    /**< It names the request that was sent. */
    other,  /**< It names another request. */
    unnamed /**< It names none. */
};

} // namespace dotterelstack::http
