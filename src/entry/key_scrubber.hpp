#pragma once

#include <string>
#include <string_view>

#include "entry/caller_request.hpp"

namespace dotterelstack::entry {

/** @brief Result of the search for keys in a request that is about to be forwarded. */
enum class scrub_outcome {
    clean,   /**< No key was found. */
    removed, /**< A query parameter that held a key was removed. */
    refused  /**< A key is in a place where removing it would change the meaning of the request. */
};

/**
 * @brief Keeps keys from reaching backend servers. Header fields and cookies are never forwarded; this searches the
 * path, the query, the content type and the body for the caller's own key and for anything with the prefix of issued
 * keys.
 * @param it Request; query parameters that hold a key are removed.
 */
[[nodiscard]] scrub_outcome scrub_keys(caller_request &it);

} // namespace dotterelstack::entry
