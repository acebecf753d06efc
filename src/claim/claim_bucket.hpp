#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::claim {

/** @brief Response stored with a claim, to be replayed to repeated requests. */
struct stored_response {
    int status{0};
    std::string content_type;
    std::string body;
    bool complete{true}; /**< False when the body was too large to store. */
};

/** @brief State of a claim in the store. */
enum class claim_state {
    claimed,  /**< The owner may be running the request. */
    answered, /**< The request has run; its response is stored. */
    unknown   /**< The request may have run; it is never run again. */
};

/** @brief Claim of one idempotency key. */
struct claim_entry {
    claim_state state{claim_state::claimed};
    std::string owner;       /**< Incarnation of the claiming entry. */
    std::string request;     /**< Id of the request that made the claim. */
    std::string body_hash;   /**< Hash of the request that first used the key. */
    std::uint64_t window{0}; /**< Number of sealed usage windows when the claim was made. */
    stored_response answer;
};

/** @brief Content of the store object `claim/{bucket}`. */
struct claim_bucket {
    std::uint64_t sealed{0}; /**< Highest number of sealed usage windows that any writer has known. */
    std::map<std::string, claim_entry, std::less<>> claims; /**< By `claim_key`. */
};

/** @return Hash that identifies an idempotency key of one organisation and service. */
[[nodiscard]] std::string claim_key(std::string_view organisation, std::string_view service, std::string_view key);

/** @return Number of the bucket that holds a key. */
[[nodiscard]] std::size_t bucket_of(std::string_view key_hash, std::size_t buckets);

/** @return Store key of a bucket. */
[[nodiscard]] std::string bucket_key(std::size_t bucket);

/** @brief Parses a bucket; an absent object is an empty bucket. */
[[nodiscard]] base::result<claim_bucket> parse_bucket(const std::optional<store::object> &item);

/** @return The stored form. Bodies that are not UTF-8 are stored as hexadecimal digits. */
[[nodiscard]] nlohmann::json to_json(const claim_bucket &bucket);

/** @return Upper estimate of the bytes that a claim occupies in the stored form. */
[[nodiscard]] std::size_t stored_bytes(const claim_entry &entry);

} // namespace dotterelstack::claim
