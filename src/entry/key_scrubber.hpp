#pragma once

#include <string>
#include <string_view>

#include "entry/caller_request.hpp"

namespace dotterelstack::entry {

/** @brief What was found when looking for keys in what would be forwarded. */
enum class scrub_outcome {
    clean,   /**< Nothing of the kind was there. */
    removed, /**< A query parameter that held a key was removed. */
    refused  /**< A key stands where it cannot be removed without changing the request's meaning. */
};

/**
 * @brief Keeps keys away from backend servers. Header fields and cookies are never forwarded; this looks at the path,
 * the query, the content type and the body for the caller's own key and for anything with the prefix of issued keys.
 * @param it Request; its query may be changed.
 */
[[nodiscard]] scrub_outcome scrub_keys(caller_request &it);

} // namespace dotterelstack::entry
