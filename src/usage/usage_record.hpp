#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "base/id.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::usage {

/** @brief Usage of one served request, recorded by the entry that completed its response. */
struct usage_record {
    std::string request;
    std::string organisation;
    std::string service;
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    std::string owner;         /**< Incarnation of the entry that recorded it. */
    std::uint64_t sequence{0}; /**< Unique for each owner, starting at 1. */
    std::uint64_t window{0};   /**< Open window at the time of recording, as known to the owner. */
};

/** @brief Records of one owner and window that are stored as one object. */
struct usage_batch {
    std::string owner;
    std::uint64_t window{0};
    std::vector<usage_record> records; /**< Sorted by sequence number; at least one. */
};

/** @brief Prefix of the store keys of all batches. */
inline constexpr std::string_view batch_prefix = "usage/batch/";

/** @return Store key of a batch; it contains the first sequence number. */
[[nodiscard]] std::string batch_key(const usage_batch &batch);

/** @return The stored form, which omits request ids. */
[[nodiscard]] nlohmann::json to_json(const usage_batch &batch);

/** @brief Parses a stored batch. */
[[nodiscard]] base::result<usage_batch> parse_batch(const store::object &item);

/** @return Body of `POST /usage/hold`: `{"records":[...]}`. */
[[nodiscard]] nlohmann::json hold_body(const std::vector<usage_record> &records);

/** @brief Parses the body of `POST /usage/hold`. */
[[nodiscard]] base::result<std::vector<usage_record>> parse_hold_body(std::string_view body);

/**
 * @brief Stores those records of a batch that are not stored yet. Blocks.
 *
 * The owner and a peer may write batches that begin with the same record and therefore have the same key. The records
 * that the stored batch lacks are then stored under the key of the first such record.
 * @return Success if every record of the batch is in the store.
 */
[[nodiscard]] base::result<void> store_batch(store::object_store &store, base::id_source &ids, usage_batch batch);

} // namespace dotterelstack::usage
